/**
 * The capacity book of one VM: the only authority for its processors, memory and accelerators. It
 * holds reservations of backend servers, the headroom of their services and the commitments of
 * tasks. Nothing is added unless it fits. What the VM holds without the book's consent (tasks that
 * ran before the agent started, or a capacity that shrank) is counted, blocks every addition, and
 * leads to tasks that must yield.
 */
import {
  addResources,
  fits,
  NO_RESOURCES,
  subtractResources,
  type Resources,
} from "../../protocol/Resources.ts";
import type { Reservation, ReservationState } from "./Reservation.ts";
import { maxResources, minResources } from "./resourceBounds.ts";
import { formatTaskKey, type TaskKey } from "./TaskKey.ts";

/** What a task holds. */
interface Commitment {
  readonly key: TaskKey;
  readonly resources: Resources;
  /** Whether the task has been told to yield; it holds its amount until it is confirmed stopped. */
  readonly yielding: boolean;
}

/** Reservations and commitments of one VM. */
export class CapacityAllocator {
  private _capacity: Resources | undefined;
  private readonly _servers = new Map<string, Reservation>();
  private readonly _headroom = new Map<string, Reservation>();
  private readonly _tasks = new Map<string, Commitment>();

  /**
   * Takes in what the VM has. A smaller capacity admits nothing until tasks have yielded.
   * @param capacity - Amounts that the worker reports.
   */
  setCapacity(capacity: Resources): void {
    this._capacity = capacity;
    this._grantReservations();
  }

  /** Gives what the VM has; undefined until the worker has reported. */
  getCapacity(): Resources | undefined {
    return this._capacity;
  }

  /** Gives everything that is held: granted reservations, granted headroom and tasks. */
  getCommitted(): Resources {
    return addResources(
      this._getReserved(),
      this._getTaskTotal(() => true),
    );
  }

  /** Gives what a new task cannot have: what is held or kept for a waiting reservation. */
  getUnavailable(): Resources {
    const reserved = minResources(this._getDemand(), this._capacity ?? NO_RESOURCES);
    return maxResources(this.getCommitted(), reserved);
  }

  /** Gives what a new task could have; nothing while reservations wait. */
  getFreeCapacity(): Resources {
    if (this._capacity === undefined) {
      return NO_RESOURCES;
    }
    const free = subtractResources(this._capacity, this._getDemand());
    return maxResources(free, NO_RESOURCES);
  }

  /**
   * Reserves what a backend server announced. A repeated announcement changes the amount.
   * @param id - Id of the backend server.
   * @param resources - Amount that it needs.
   */
  reserveServer(id: string, resources: Resources): ReservationState {
    const granted = this._servers.get(id)?.granted ?? NO_RESOURCES;
    this._servers.set(id, { wanted: resources, granted: minResources(granted, resources) });
    this._grantReservations();
    return this.getServerState(id) ?? "impossible";
  }

  /**
   * Gives the state of a backend server's reservation.
   * @param id - Id of the backend server.
   */
  getServerState(id: string): ReservationState | undefined {
    const reservation = this._servers.get(id);
    if (reservation === undefined) {
      return undefined;
    }
    if (isGranted(reservation)) {
      return "granted";
    }
    return this._canEverFit(id) ? "pending" : "impossible";
  }

  /**
   * Drops the reservation of a backend server that has gone.
   * @param id - Id of the backend server.
   */
  releaseServer(id: string): void {
    this._servers.delete(id);
    this._grantReservations();
  }

  /**
   * Sets the headroom of every service that has a backend server here. Headroom is granted as far
   * as it fits and grows as tasks yield.
   * @param wanted - Headroom by service; services that are left out lose theirs.
   */
  setHeadroom(wanted: ReadonlyMap<string, Resources>): void {
    const gone = [...this._headroom.keys()].filter((service) => !wanted.has(service));
    gone.forEach((service) => this._headroom.delete(service));
    wanted.forEach((resources, service) => {
      const granted = this._headroom.get(service)?.granted ?? NO_RESOURCES;
      this._headroom.set(service, {
        wanted: resources,
        granted: minResources(granted, resources),
      });
    });
    this._grantReservations();
  }

  /**
   * Commits the amount of a task that is about to start.
   * @param key - The task's attempt.
   * @param resources - Amount that it asks for.
   * @returns Whether it fits; where it does not, nothing is held.
   */
  commit(key: TaskKey, resources: Resources): boolean {
    const id = formatTaskKey(key);
    if (this._tasks.has(id) || !isValidAmount(resources) || !this._fitsUnclaimed(resources)) {
      return false;
    }
    this._tasks.set(id, { key, resources, yielding: false });
    return true;
  }

  /**
   * Counts a task that the worker already runs, whether it fits or not.
   * @param key - The task's attempt.
   * @param resources - Amount that it holds.
   */
  adopt(key: TaskKey, resources: Resources): void {
    const id = formatTaskKey(key);
    const known = this._tasks.get(id);
    this._tasks.set(id, { key, resources, yielding: known?.yielding ?? false });
  }

  /**
   * Raises the commitment of a running task above its declared size.
   * @param key - The task's attempt.
   * @param resources - New amount; parts below the present one are left alone.
   * @returns Whether it fits; where it does not, the present amount stays and the task must yield.
   */
  raiseCommitment(key: TaskKey, resources: Resources): boolean {
    const id = formatTaskKey(key);
    const commitment = this._tasks.get(id);
    if (commitment === undefined) {
      return false;
    }
    const raised = maxResources(commitment.resources, resources);
    if (!this._fitsUnclaimed(subtractResources(raised, commitment.resources))) {
      return false;
    }
    this._tasks.set(id, { ...commitment, resources: raised });
    return true;
  }

  /**
   * Notes that a task has been told to stop; it holds its amount until it is released.
   * @param key - The task's attempt.
   */
  markYielding(key: TaskKey): void {
    const id = formatTaskKey(key);
    const commitment = this._tasks.get(id);
    if (commitment !== undefined) {
      this._tasks.set(id, { ...commitment, yielding: true });
    }
  }

  /**
   * Releases what a task held. To be called only once the worker has confirmed that the attempt
   * does not run.
   * @param key - The task's attempt.
   */
  release(key: TaskKey): void {
    this._tasks.delete(formatTaskKey(key));
    this._grantReservations();
  }

  /**
   * Gives what a task holds.
   * @param key - The task's attempt.
   */
  getCommitment(key: TaskKey): Resources | undefined {
    return this._tasks.get(formatTaskKey(key))?.resources;
  }

  /**
   * Names the tasks that must yield so that the VM holds no more than it has and waiting
   * reservations can be granted. Tasks that yield already are counted first, then the newest.
   */
  getTasksToYield(): readonly TaskKey[] {
    const yielding = this._getTaskTotal((commitment) => commitment.yielding);
    const newestFirst = [...this._tasks.values()]
      .filter((commitment) => !commitment.yielding)
      .toReversed();
    const chosen = newestFirst.reduce<{ shortage: Resources; tasks: readonly Commitment[] }>(
      (state, commitment) =>
        reducesShortage(commitment.resources, state.shortage)
          ? {
              shortage: subtractResources(state.shortage, commitment.resources),
              tasks: [...state.tasks, commitment],
            }
          : state,
      { shortage: subtractResources(this._getShortage(), yielding), tasks: [] },
    );
    return dropUnneeded(chosen.tasks, chosen.shortage).map((commitment) => commitment.key);
  }

  private _fitsUnclaimed(resources: Resources): boolean {
    return this._capacity !== undefined && fitsWhereWanted(resources, this._getUnclaimed());
  }

  /** What nobody holds or waits for; parts are negative where the VM holds too much. */
  private _getUnclaimed(): Resources {
    return subtractResources(this._capacity ?? NO_RESOURCES, this._getDemand());
  }

  private _getShortage(): Resources {
    if (this._capacity === undefined) {
      return NO_RESOURCES;
    }
    return maxResources(subtractResources(NO_RESOURCES, this._getUnclaimed()), NO_RESOURCES);
  }

  /** Tasks, and reservations as far as they are granted or could be granted without tasks. */
  private _getDemand(): Resources {
    const servers = [...this._servers].map(([id, reservation]) =>
      this._canEverFit(id) ? reservation.wanted : reservation.granted,
    );
    const headroom = [...this._headroom.values()].map((reservation) => reservation.wanted);
    return [...servers, ...headroom].reduce(
      addResources,
      this._getTaskTotal(() => true),
    );
  }

  private _getReserved(): Resources {
    return [...this._servers.values(), ...this._headroom.values()]
      .map((reservation) => reservation.granted)
      .reduce(addResources, NO_RESOURCES);
  }

  private _getTaskTotal(predicate: (held: Commitment) => boolean): Resources {
    return [...this._tasks.values()]
      .filter(predicate)
      .map((held) => held.resources)
      .reduce(addResources, NO_RESOURCES);
  }

  /** Whether a backend server would fit if it shared the VM with the granted ones alone. */
  private _canEverFit(id: string): boolean {
    const reservation = this._servers.get(id);
    if (reservation === undefined || this._capacity === undefined) {
      return true;
    }
    const others = [...this._servers]
      .filter(([other]) => other !== id)
      .map(([, other]) => other.granted)
      .reduce(addResources, NO_RESOURCES);
    return fits(reservation.wanted, subtractResources(this._capacity, others));
  }

  private _grantReservations(): void {
    if (this._capacity === undefined) {
      return;
    }
    const capacity = this._capacity;
    this._servers.forEach((reservation, id) => {
      const free = subtractResources(capacity, this.getCommitted());
      const missing = subtractResources(reservation.wanted, reservation.granted);
      if (!isGranted(reservation) && fitsWhereWanted(missing, free)) {
        this._servers.set(id, { ...reservation, granted: reservation.wanted });
      }
    });
    this._headroom.forEach((reservation, service) => {
      const free = subtractResources(capacity, this.getCommitted());
      const grantable = addResources(reservation.granted, maxResources(free, NO_RESOURCES));
      this._headroom.set(service, {
        ...reservation,
        granted: minResources(reservation.wanted, grantable),
      });
    });
  }
}

function isGranted(reservation: Reservation): boolean {
  return fits(reservation.wanted, reservation.granted);
}

function isValidAmount(resources: Resources): boolean {
  return Object.values(resources).every((part) => Number.isFinite(part) && Number(part) >= 0);
}

/** Fit that ignores the parts of which nothing is wanted. */
function fitsWhereWanted(wanted: Resources, free: Resources): boolean {
  return fits(wanted, maxResources(free, NO_RESOURCES));
}

function reducesShortage(amount: Resources, shortage: Resources): boolean {
  return (
    (shortage.processorsMilli > 0 && amount.processorsMilli > 0) ||
    (shortage.memoryBytes > 0 && amount.memoryBytes > 0) ||
    (shortage.accelerators > 0 && amount.accelerators > 0)
  );
}

/** Spares the tasks whose stop would not be needed, the oldest first. */
function dropUnneeded(
  chosen: readonly Commitment[],
  remainingShortage: Resources,
): readonly Commitment[] {
  return chosen
    .toReversed()
    .reduce<{ spare: Resources; kept: readonly Commitment[] }>(
      (state, commitment) =>
        fitsWhereWanted(commitment.resources, state.spare)
          ? { ...state, spare: subtractResources(state.spare, commitment.resources) }
          : { ...state, kept: [commitment, ...state.kept] },
      {
        spare: maxResources(subtractResources(NO_RESOURCES, remainingShortage), NO_RESOURCES),
        kept: [],
      },
    ).kept;
}
