/**
 * Capacity allocation on one VM: the single authority for its processors, memory and accelerators.
 * It tracks the reservations of backend servers, the headroom of their services and the commitments
 * of tasks, and grants only what fits. Usage that it did not grant (tasks that ran before the agent
 * started, or a reduced capacity) is counted as well. Such an excess blocks new commitments, and
 * tasks must yield until it is gone.
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

/** Resources committed to a task. */
interface Commitment {
  readonly key: TaskKey;
  readonly resources: Resources;
  /**
   * Whether the task has been told to yield. Its resources stay committed until it is confirmed
   * stopped.
   */
  readonly yielding: boolean;
}

/** Allocator of the capacity of one VM. */
export class CapacityAllocator {
  private _capacity: Resources | undefined;
  private readonly _servers = new Map<string, Reservation>();
  private readonly _headroom = new Map<string, Reservation>();
  private readonly _tasks = new Map<string, Commitment>();

  /**
   * Sets the capacity of the VM. After a reduction below the committed resources, nothing is
   * admitted until tasks have yielded.
   * @param capacity - Capacity reported by the worker.
   */
  setCapacity(capacity: Resources): void {
    this._capacity = capacity;
    this._grantReservations();
  }

  /** Gets the capacity of the VM; undefined until the worker has reported it. */
  getCapacity(): Resources | undefined {
    return this._capacity;
  }

  /** Returns the committed total: granted reservations, granted headroom and tasks. */
  getCommitted(): Resources {
    return addResources(
      this._getReserved(),
      this._getTaskTotal(() => true),
    );
  }

  /**
   * Returns the resources that are not available to a new task: committed or kept for a pending
   * reservation.
   */
  getUnavailable(): Resources {
    const reserved = minResources(this._getDemand(), this._capacity ?? NO_RESOURCES);
    return maxResources(this.getCommitted(), reserved);
  }

  /**
   * Returns the resources available to a new task: the capacity less the commitments and all
   * reservations, including pending ones.
   */
  getFreeCapacity(): Resources {
    if (this._capacity === undefined) {
      return NO_RESOURCES;
    }
    const free = subtractResources(this._capacity, this._getDemand());
    return maxResources(free, NO_RESOURCES);
  }

  /**
   * Reserves the resources that a backend server announced. A repeated announcement changes the
   * amount.
   * @param id - Id of the backend server.
   * @param resources - Amount to reserve.
   */
  reserveServer(id: string, resources: Resources): ReservationState {
    const granted = this._servers.get(id)?.granted ?? NO_RESOURCES;
    this._servers.set(id, { wanted: resources, granted: minResources(granted, resources) });
    this._grantReservations();
    return this.getServerState(id) ?? "impossible";
  }

  /**
   * Gets the state of a backend server's reservation; undefined if there is none.
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
   * Releases the reservation of a backend server that is gone.
   * @param id - Id of the backend server.
   */
  releaseServer(id: string): void {
    this._servers.delete(id);
    this._grantReservations();
  }

  /**
   * Sets the headroom of all services that have a backend server on the VM. Headroom is granted as
   * far as it fits and grows as tasks yield.
   * @param wanted - Headroom by service; the headroom of all other services is removed.
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
   * Commits the resources of a task that is about to start.
   * @param key - The task's attempt.
   * @param resources - Amount to commit.
   * @returns Whether it fits; if not, nothing is committed.
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
   * Commits the resources of a task that the worker already runs, whether they fit or not.
   * @param key - The task's attempt.
   * @param resources - Amount to commit.
   */
  adopt(key: TaskKey, resources: Resources): void {
    const id = formatTaskKey(key);
    const known = this._tasks.get(id);
    this._tasks.set(id, { key, resources, yielding: known?.yielding ?? false });
  }

  /**
   * Raises the commitment of a running task above its declared size.
   * @param key - The task's attempt.
   * @param resources - New amount; components below the current commitment are not lowered.
   * @returns Whether it fits; if not, the commitment is unchanged and the task must yield.
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
   * Marks a task as yielding. Its resources stay committed until they are released.
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
   * Releases the resources of a task. Must be called only after the worker has confirmed that the
   * attempt is not running.
   * @param key - The task's attempt.
   */
  release(key: TaskKey): void {
    this._tasks.delete(formatTaskKey(key));
    this._grantReservations();
  }

  /**
   * Gets the resources committed to a task; undefined if there are none.
   * @param key - The task's attempt.
   */
  getCommitment(key: TaskKey): Resources | undefined {
    return this._tasks.get(formatTaskKey(key))?.resources;
  }

  /**
   * Selects the tasks that must yield so that the commitments fit the capacity and pending
   * reservations can be granted. Tasks that already yield are counted first; further ones are
   * selected newest first.
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

  /**
   * Capacity that is neither committed nor reserved; components are negative if the VM is
   * overcommitted.
   */
  private _getUnclaimed(): Resources {
    return subtractResources(this._capacity ?? NO_RESOURCES, this._getDemand());
  }

  private _getShortage(): Resources {
    if (this._capacity === undefined) {
      return NO_RESOURCES;
    }
    return maxResources(subtractResources(NO_RESOURCES, this._getUnclaimed()), NO_RESOURCES);
  }

  /**
   * Total of tasks, headroom and reservations; a reservation that can never be granted in full
   * counts with its granted part.
   */
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

  private _getTaskTotal(predicate: (commitment: Commitment) => boolean): Resources {
    return [...this._tasks.values()]
      .filter(predicate)
      .map((commitment) => commitment.resources)
      .reduce(addResources, NO_RESOURCES);
  }

  /**
   * Returns whether a reservation would fit beside the granted ones of other backend servers,
   * without tasks.
   */
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
  return Object.values(resources).every((amount) => Number.isFinite(amount) && Number(amount) >= 0);
}

/** Returns whether an amount fits, ignoring components of which nothing is requested. */
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

/** Drops selected tasks that need not yield, checking the oldest first. */
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
