/**
 * Placement by fair share: urgent tasks first, then the tenant with the smallest dominant share by
 * weight, within quotas. A task goes to the best of a few VMs with room. A task that does not fit
 * holds up no other task; a large one that has waited long gets a VM kept free.
 */
import { fits, addResources, NO_RESOURCES, type Resources } from "../../protocol/Resources.ts";
import type { RandomSource } from "../../protocol/platform/RandomSource.ts";
import type { VmRecord } from "../../state/FleetView.ts";
import {
  Placer,
  type AttemptResult,
  type PendingTask,
  type Placement,
  type PlacementInput,
  type PlacementPlan,
  type WaitingReason,
} from "../batch/Placer.ts";
import { BestFitRule } from "./BestFitRule.ts";
import type { FitRule } from "./FitRule.ts";
import { PlacementCycle } from "./PlacementCycle.ts";
import { TenantQueues } from "./TenantQueues.ts";
import { TenantShares } from "./TenantShares.ts";
import { VmReservations } from "./VmReservations.ts";
import { WorkerQuarantine } from "./WorkerQuarantine.ts";

/** Age from which the report of a VM is not relied on, in milliseconds. */
const STALE_REPORT_MS = 10_000;
/** Wait after which a VM is kept free for a task, in milliseconds. */
const RESERVE_AFTER_MS = 10_000;

/**
 * Predicts the disturbance of services by a kind of job, as the share of what their profiles
 * tolerate: 0 is none, and from 1 on the VM is not used.
 * @param services - Services on the VM.
 * @param kind - Kind of job.
 */
export type PenaltyFunction = (services: readonly string[], kind: string) => number;

/** Parts of a placer. */
export interface FairSharePlacerOptions {
  readonly random: RandomSource;
  readonly fitRule?: FitRule;
  readonly getPenalty?: PenaltyFunction;
  /** Gives the size to commit for a task of a kind; the declared one where it is absent. */
  readonly getSize?: (kind: string, declared: Resources) => Resources;
}

/** Places tasks by fair share and fit. */
export class FairSharePlacer extends Placer {
  private readonly _options: Required<FairSharePlacerOptions>;
  private readonly _quarantine = new WorkerQuarantine();
  private readonly _reservations = new VmReservations();

  /**
   * Creates a placer.
   * @param options - Its parts.
   */
  constructor(options: FairSharePlacerOptions) {
    super();
    this._options = {
      fitRule: new BestFitRule(),
      getPenalty: () => 0,
      getSize: (_kind, declared) => declared,
      ...options,
    };
  }

  override plan(input: PlacementInput): PlacementPlan {
    const live = input.vms.filter(
      (vm) => !vm.draining && input.now - vm.reportedAt <= STALE_REPORT_MS,
    );
    const usable = live.filter((vm) => vm.startHold === undefined);
    const round = this._createCycle(input, usable);
    const total = input.vms.map((vm) => vm.capacity).reduce(addResources, NO_RESOURCES);
    const shares = new TenantShares(input.active, input.cfg.quotas, total);
    const [urgent, batch] = [true, false].map((isUrgent) => {
      const tasks = input.pending.filter((task) => task.urgent === isUrgent);
      return this._placeAll(tasks, input, round, shares);
    });
    const held = live.filter((vm) => vm.startHold !== undefined && vm.urgentMayStart === true);
    const rescued = this._placeUrgentOnRestrictedVms(urgent, input, held, shares);
    const plans = [rescued, batch].filter((plan) => plan !== undefined);
    return {
      placements: plans.flatMap((plan) => plan.placements),
      waiting: plans.flatMap((plan) => plan.waiting),
    };
  }

  override recordOutcome(agent: string, started: boolean, now: number): void {
    this.recordAttempt({ agent, kind: "", outcome: started ? "completed" : "failed", now });
  }

  override recordAttempt(note: AttemptResult): void {
    this._quarantine.record(note);
  }

  /** Places the urgent tasks that wait on VMs that hold back all others. */
  private _placeUrgentOnRestrictedVms(
    plan: PlacementPlan | undefined,
    input: PlacementInput,
    held: readonly VmRecord[],
    shares: TenantShares,
  ): PlacementPlan | undefined {
    if (plan === undefined || plan.waiting.length === 0 || held.length === 0) {
      return plan;
    }
    const waiting = new Set(plan.waiting.map((reason) => reason.task));
    const tasks = input.pending.filter((task) => waiting.has(task.task));
    const more = this._placeAll(tasks, input, this._createCycle(input, held, false), shares);
    return { placements: [...plan.placements, ...more.placements], waiting: more.waiting };
  }

  private _createCycle(
    input: PlacementInput,
    usable: readonly VmRecord[],
    isWhole = true,
  ): PlacementCycle {
    const agents = usable.map((vm) => vm.agent);
    this._quarantine.retain(new Set(input.vms.map((vm) => vm.agent)));
    if (isWhole) {
      this._reservations.retain(new Set(input.pending.map((task) => task.task)), new Set(agents));
    }
    return new PlacementCycle({
      ...this._options,
      now: input.now,
      vms: usable,
      allVms: input.vms,
      admissions: this._quarantine.getAdmissions(agents, input.now),
      reserved: this._reservations.getAgents(),
    });
  }

  private _placeAll(
    tasks: readonly PendingTask[],
    input: PlacementInput,
    round: PlacementCycle,
    shares: TenantShares,
  ): PlacementPlan {
    const queues = new TenantQueues(tasks, (tenant) => shares.getDominantShare(tenant));
    const placements: Placement[] = [];
    const waiting: WaitingReason[] = [];
    for (
      let task = queues.dequeue();
      task !== undefined && round.placed < input.limit;
      task = queues.dequeue()
    ) {
      const outcome = this._place(task, input.now, round, shares);
      if ("agent" in outcome) {
        placements.push(outcome);
        queues.update(task.tenant);
      } else {
        waiting.push(outcome);
      }
    }
    const left = tasks.length - placements.length - waiting.length;
    return { placements, waiting: left === 0 ? waiting : addUndecided(tasks, placements, waiting) };
  }

  private _place(
    task: PendingTask,
    now: number,
    round: PlacementCycle,
    shares: TenantShares,
  ): Placement | WaitingReason {
    const wanted = this._options.getSize(task.kind, task.resources);
    const refusal = shares.findRefusal(task.tenant, wanted);
    if (refusal !== undefined) {
      return { task: task.task, ...refusal };
    }
    const agent = this._chooseVm(task, wanted, now, round);
    if (agent === undefined) {
      return { task: task.task, ...round.explain(task, wanted, this._reservations.get(task.task)) };
    }
    shares.add(task.tenant, wanted);
    this._reservations.release(task.task);
    if (round.isProbe(agent)) {
      this._quarantine.recordProbe(agent, now);
    }
    return { task: task.task, agent };
  }

  private _chooseVm(
    task: PendingTask,
    wanted: Resources,
    now: number,
    round: PlacementCycle,
  ): string | undefined {
    const marked = this._reservations.get(task.task);
    const agent = round.place(task, wanted, marked);
    if (agent === undefined && marked === undefined && now - task.readyAt > RESERVE_AFTER_MS) {
      const vms = round.vms.filter((vm) => fits(wanted, vm.capacity));
      const mark = this._reservations.reserve(task.task, wanted, vms);
      if (mark !== undefined) {
        round.addReserved(mark);
      }
    }
    return agent;
  }
}

function addUndecided(
  tasks: readonly PendingTask[],
  placements: readonly Placement[],
  waiting: readonly WaitingReason[],
): readonly WaitingReason[] {
  const decided = new Set([...placements, ...waiting].map((outcome) => outcome.task));
  const left = tasks
    .filter((task) => !decided.has(task.task))
    .map((task) => ({ task: task.task, unschedulable: false, reason: "other tasks go first" }));
  return [...waiting, ...left];
}
