/**
 * One round of placement over the VMs: chooses a VM for each task, bounds the starts on each VM,
 * and remembers which sizes found no room so that the same search is not repeated.
 */
import { fits, type Resources } from "../../protocol/Resources.ts";
import type { RandomSource } from "../../protocol/platform/RandomSource.ts";
import type { VmRecord } from "../../state/FleetView.ts";
import type { PendingTask, WaitingReason } from "../batch/Placer.ts";
import { describeExcess } from "./describeExcess.ts";
import type { FitRule } from "./FitRule.ts";
import { VmIndex, type Candidate } from "./VmIndex.ts";
import type { Admission } from "./WorkerQuarantine.ts";

/** Most VMs with room among which one is chosen. */
const MAX_CANDIDATES = 8;
/** Most starts on one VM in a round, so that a lost rack's tasks do not fall on one VM. */
const MAX_STARTS_PER_VM = 4;
/** Weight of the predicted disturbance against the fit. */
const PENALTY_WEIGHT = 2;
const PENALTY_LIMIT = 1;

/** Parts of a round. */
export interface PlacementCycleOptions {
  readonly random: RandomSource;
  readonly fitRule: FitRule;
  readonly getPenalty: (services: readonly string[], kind: string) => number;
  readonly now: number;
  /** VMs that may take tasks. */
  readonly vms: readonly VmRecord[];
  /** All VMs that are known. */
  readonly allVms: readonly VmRecord[];
  readonly admissions: ReadonlyMap<string, Admission>;
  /** VMs kept free for tasks that have waited long. */
  readonly reserved: ReadonlySet<string>;
}

/** A size of a kind of job for which no VM was found. */
interface FailedSearch {
  readonly kind: string;
  readonly wanted: Resources;
}

/** One round. */
export class PlacementCycle {
  private readonly _options: PlacementCycleOptions;
  private readonly _index: VmIndex;
  private readonly _capacities: readonly Resources[];
  private readonly _reserved: Set<string>;
  private readonly _penalties = new Map<string, number>();
  private readonly _services = new Map<string, readonly string[]>();
  private _failedSearches: readonly FailedSearch[] = [];
  private _disturbingKinds = new Set<string>();
  private _placed = 0;

  /**
   * Creates a round.
   * @param options - Its parts.
   */
  constructor(options: PlacementCycleOptions) {
    const { vms, allVms, admissions, random, reserved: earmarked } = options;
    this._options = options;
    const open = vms.filter((vm) => admissions.get(vm.agent) !== "closed");
    this._index = new VmIndex(open, random);
    this._capacities = getDistinct(allVms.map((vm) => vm.capacity));
    this._reserved = new Set(earmarked);
  }

  /** Number of tasks placed so far. */
  get placed(): number {
    return this._placed;
  }

  /** VMs that may take tasks. */
  get vms(): readonly VmRecord[] {
    return this._options.vms;
  }

  /**
   * Whether a VM takes a single task as a probe.
   * @param agent - Name of its agent.
   */
  isProbe(agent: string): boolean {
    return this._options.admissions.get(agent) === "probe";
  }

  /**
   * Keeps a VM free from now on.
   * @param agent - Name of its agent.
   */
  addReserved(agent: string): void {
    this._reserved.add(agent);
  }

  /**
   * Chooses a VM for a task and takes the amount from it.
   * @param task - The task.
   * @param wanted - Amount to commit.
   * @param marked - VM kept free for the task.
   * @returns Name of the VM's agent; undefined where no VM has room.
   */
  place(task: PendingTask, wanted: Resources, marked: string | undefined): string | undefined {
    const kept = marked === undefined ? undefined : this._index.get(marked);
    if (kept !== undefined && fits(wanted, kept.free) && this._accepts(kept, task, true)) {
      return this._commit(kept, wanted);
    }
    if (this._isKnownToFail(task.kind, wanted)) {
      return undefined;
    }
    const found = this._find(task, wanted);
    const best = this._getBest(found, task.kind, wanted);
    if (best === undefined) {
      this._recordFailedSearch(task.kind, wanted);
      return undefined;
    }
    return this._commit(best, wanted);
  }

  /**
   * Says why a task was not placed.
   * @param task - The task.
   * @param wanted - Amount to commit.
   * @param marked - VM kept free for the task.
   */
  explain(
    task: PendingTask,
    wanted: Resources,
    marked: string | undefined,
  ): Omit<WaitingReason, "task"> {
    if (this._options.vms.length === 0) {
      return { unschedulable: false, reason: "no VM is known that takes tasks" };
    }
    if (!this._capacities.some((capacity) => fits(wanted, capacity))) {
      return {
        unschedulable: true,
        reason: `it is larger than every VM: ${this._describeExcess(wanted)}`,
      };
    }
    if (marked !== undefined) {
      return { unschedulable: false, reason: `VM ${marked} is kept free for it` };
    }
    const disturbing = this._disturbingKinds.has(task.kind);
    return {
      unschedulable: false,
      reason: disturbing ? "it would disturb the services of every VM with room" : "no VM has room",
    };
  }

  private _describeExcess(wanted: Resources): string {
    const nearest = this._capacities.toSorted(
      (a, b) => b.processorsMilli - a.processorsMilli || b.memoryBytes - a.memoryBytes,
    );
    const largest = nearest.find((capacity) => capacity.accelerators >= wanted.accelerators);
    return describeExcess(wanted, largest ?? nearest[0] ?? wanted);
  }

  /** An urgent task may use a VM that is kept free where no other has room. */
  private _find(task: PendingTask, wanted: Resources): readonly Candidate[] {
    const order = this._options.fitRule.searchOrder;
    const query = { wanted, order, count: MAX_CANDIDATES };
    const found = this._index.find({
      ...query,
      accepts: (candidate) => this._accepts(candidate, task, false),
    });
    return found.length > 0 || !task.urgent || this._reserved.size === 0
      ? found
      : this._index.find({
          ...query,
          accepts: (candidate) => this._accepts(candidate, task, true),
        });
  }

  private _accepts(candidate: Candidate, task: PendingTask, mayUseKept: boolean): boolean {
    const { agent } = candidate.vm;
    const most = this.isProbe(agent) ? 1 : MAX_STARTS_PER_VM;
    if (candidate.starts >= most || (!mayUseKept && this._reserved.has(agent))) {
      return false;
    }
    const bearable = this._getPenalty(candidate.vm, task.kind) < PENALTY_LIMIT;
    if (!bearable) {
      this._disturbingKinds.add(task.kind);
    }
    return bearable;
  }

  private _getBest(
    found: readonly Candidate[],
    kind: string,
    wanted: Resources,
  ): Candidate | undefined {
    const { fitRule } = this._options;
    const rated = found.map((candidate) => ({
      candidate,
      rating:
        fitRule.score(wanted, candidate.free, candidate.vm.capacity) -
        PENALTY_WEIGHT * this._getPenalty(candidate.vm, kind),
    }));
    const [first, ...others] = rated;
    return others.reduce((best, next) => (next.rating > (best?.rating ?? 0) ? next : best), first)
      ?.candidate;
  }

  private _getPenalty(vm: VmRecord, kind: string): number {
    if (vm.servers.length === 0) {
      return 0;
    }
    const services = this._getServices(vm);
    const key = `${services.join(",")}\n${kind}`;
    const known = this._penalties.get(key);
    if (known !== undefined) {
      return known;
    }
    const penalty = this._options.getPenalty(services, kind);
    this._penalties.set(key, penalty);
    return penalty;
  }

  private _getServices(vm: VmRecord): readonly string[] {
    const known = this._services.get(vm.agent);
    if (known !== undefined) {
      return known;
    }
    const services = [...new Set(vm.servers.map((server) => server.service))].sort();
    this._services.set(vm.agent, services);
    return services;
  }

  private _commit(candidate: Candidate, wanted: Resources): string {
    this._index.commit(candidate, wanted);
    this._placed += 1;
    return candidate.vm.agent;
  }

  private _recordFailedSearch(kind: string, wanted: Resources): void {
    const others = this._failedSearches.filter(
      (failed) => failed.kind !== kind || !fits(wanted, failed.wanted),
    );
    this._failedSearches = [...others, { kind, wanted }];
  }

  /** Free amounts only shrink in a round, so what is no smaller than a failed size fails too. */
  private _isKnownToFail(kind: string, wanted: Resources): boolean {
    return this._failedSearches.some(
      (failed) => failed.kind === kind && fits(failed.wanted, wanted),
    );
  }
}

function getDistinct(capacities: readonly Resources[]): readonly Resources[] {
  const byText = capacities.map((capacity): [string, Resources] => [
    `${capacity.processorsMilli},${capacity.memoryBytes},${capacity.accelerators}`,
    capacity,
  ]);
  return [...new Map(byText).values()];
}
