/**
 * Placement over the VMs in one scheduling cycle: chooses a VM for each task, limits the starts on
 * each VM, and remembers which resource requests found no VM so that the same search is not
 * repeated.
 */
import { fits, type Resources } from "../../protocol/Resources.ts";
import type { RandomSource } from "../../protocol/platform/RandomSource.ts";
import type { VmRecord } from "../../state/FleetView.ts";
import type { PendingTask, WaitingReason } from "../batch/Placer.ts";
import { describeExcess } from "./describeExcess.ts";
import type { FitRule } from "./FitRule.ts";
import { VmIndex, type Candidate } from "./VmIndex.ts";
import type { Admission } from "./WorkerQuarantine.ts";

/** Maximum number of VMs with enough free capacity that are scored for a task. */
const MAX_CANDIDATES = 8;
/**
 * Maximum starts on one VM in a cycle, so that the tasks of a lost rack spread over several VMs.
 */
const MAX_STARTS_PER_VM = 4;
/** Weight of the predicted disturbance relative to the fit score. */
const PENALTY_WEIGHT = 2;
const PENALTY_LIMIT = 1;

/** Options of a placement cycle. */
export interface PlacementCycleOptions {
  readonly random: RandomSource;
  readonly fitRule: FitRule;
  readonly getPenalty: (services: readonly string[], kind: string) => number;
  readonly now: number;
  /** VMs that accept tasks. */
  readonly vms: readonly VmRecord[];
  /** All known VMs. */
  readonly allVms: readonly VmRecord[];
  readonly admissions: ReadonlyMap<string, Admission>;
  /** VMs reserved for tasks that have waited long. */
  readonly reserved: ReadonlySet<string>;
}

/** Resource request of a kind of job for which no VM was found. */
interface FailedSearch {
  readonly kind: string;
  readonly wanted: Resources;
}

/** Places tasks in one scheduling cycle. */
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
   * Creates a cycle.
   * @param options - Its options.
   */
  constructor(options: PlacementCycleOptions) {
    const { vms, allVms, admissions, random, reserved } = options;
    this._options = options;
    const admitted = vms.filter((vm) =>
      ["open", "probe"].includes(admissions.get(vm.agent) ?? "open"),
    );
    this._index = new VmIndex(admitted, random);
    this._capacities = getDistinct(allVms.map((vm) => vm.capacity));
    this._reserved = new Set(reserved);
  }

  /** Number of tasks placed so far. */
  get placed(): number {
    return this._placed;
  }

  /** VMs that accept tasks. */
  get vms(): readonly VmRecord[] {
    return this._options.vms;
  }

  /**
   * Returns whether a VM accepts only a single task, as a probe.
   * @param agent - Name of its agent.
   */
  isProbe(agent: string): boolean {
    return this._options.admissions.get(agent) === "probe";
  }

  /**
   * Treats a VM as reserved for the rest of the cycle.
   * @param agent - Name of its agent.
   */
  addReserved(agent: string): void {
    this._reserved.add(agent);
  }

  /**
   * Chooses a VM for a task and commits the task's resources on it.
   * @param task - The task.
   * @param wanted - Resources to commit.
   * @param reservedAgent - Agent of the VM reserved for the task, if any.
   * @returns Name of the VM's agent; undefined if no VM can take the task.
   */
  place(
    task: PendingTask,
    wanted: Resources,
    reservedAgent: string | undefined,
  ): string | undefined {
    const reserved = reservedAgent === undefined ? undefined : this._index.get(reservedAgent);
    if (
      reserved !== undefined &&
      fits(wanted, reserved.free) &&
      this._accepts(reserved, task, true)
    ) {
      return this._commit(reserved, wanted);
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
   * Explains why a task was not placed.
   * @param task - The task.
   * @param wanted - Resources to commit.
   * @param reservedAgent - Agent of the VM reserved for the task, if any.
   */
  explain(
    task: PendingTask,
    wanted: Resources,
    reservedAgent: string | undefined,
  ): Omit<WaitingReason, "task"> {
    if (this._options.vms.length === 0) {
      return { unschedulable: false, reason: "no known VM accepts tasks" };
    }
    if (!this._capacities.some((capacity) => fits(wanted, capacity))) {
      return {
        unschedulable: true,
        reason: `no VM is large enough for it: ${this._describeExcess(wanted)}`,
      };
    }
    if (reservedAgent !== undefined) {
      return { unschedulable: false, reason: `VM ${reservedAgent} is reserved for it` };
    }
    const disturbing = this._disturbingKinds.has(task.kind);
    return {
      unschedulable: false,
      reason: disturbing
        ? "it would disturb the services of every VM with enough free capacity"
        : "no VM has enough free capacity",
    };
  }

  private _describeExcess(wanted: Resources): string {
    const sorted = this._capacities.toSorted(
      (a, b) => b.processorsMilli - a.processorsMilli || b.memoryBytes - a.memoryBytes,
    );
    const largest = sorted.find((capacity) => capacity.accelerators >= wanted.accelerators);
    return describeExcess(wanted, largest ?? sorted[0] ?? wanted);
  }

  /** Finds VMs for a task. An urgent task may use a reserved VM if no other VM can take it. */
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

  private _accepts(candidate: Candidate, task: PendingTask, mayUseReserved: boolean): boolean {
    const { agent } = candidate.vm;
    const limit = this.isProbe(agent) ? 1 : MAX_STARTS_PER_VM;
    if (candidate.starts >= limit || (!mayUseReserved && this._reserved.has(agent))) {
      return false;
    }
    const isTolerated = this._getPenalty(candidate.vm, task.kind) < PENALTY_LIMIT;
    if (!isTolerated) {
      this._disturbingKinds.add(task.kind);
    }
    return isTolerated;
  }

  private _getBest(
    found: readonly Candidate[],
    kind: string,
    wanted: Resources,
  ): Candidate | undefined {
    const { fitRule } = this._options;
    const scored = found.map((candidate) => ({
      candidate,
      score:
        fitRule.score(wanted, candidate.free, candidate.vm.capacity) -
        PENALTY_WEIGHT * this._getPenalty(candidate.vm, kind),
    }));
    const [first, ...others] = scored;
    return others.reduce((best, next) => (next.score > (best?.score ?? 0) ? next : best), first)
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

  /**
   * Free capacity only shrinks within a cycle, so a request that is no smaller than a failed one
   * fails.
   */
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
