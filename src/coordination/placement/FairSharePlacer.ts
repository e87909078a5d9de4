/**
 * Fair-share placement: urgent tasks first, then the tenant with the smallest weighted dominant
 * share, within quotas. A task goes to the best of a few VMs with enough free capacity. A task that
 * does not fit does not block other tasks; if it has waited long, a VM is reserved for it.
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

/** Maximum age of a VM's report for the VM to be used, in milliseconds. */
const STALE_REPORT_MS = 10_000;
/** Waiting time after which a VM is reserved for a task, in milliseconds. */
const RESERVE_AFTER_MS = 10_000;

/**
 * Predicts the disturbance of services by a kind of job, relative to what their profiles tolerate:
 * 0 is no disturbance; from 1 on the VM is not used.
 * @param services - Services on the VM.
 * @param kind - Kind of job.
 */
export type PenaltyFunction = (services: readonly string[], kind: string) => number;

/** Options of a placer. */
export interface FairSharePlacerOptions {
  readonly random: RandomSource;
  readonly fitRule?: FitRule;
  readonly getPenalty?: PenaltyFunction;
  /** Gets the resources to commit for a task of a kind; by default the declared ones. */
  readonly getSize?: (kind: string, declared: Resources) => Resources;
}

/** Places tasks by fair share of their tenants and by fit. */
export class FairSharePlacer extends Placer {
  private readonly _options: Required<FairSharePlacerOptions>;
  private readonly _quarantine = new WorkerQuarantine();
  private readonly _reservations = new VmReservations();

  /**
   * Creates a placer.
   * @param options - Its options.
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
    const cycle = this._createCycle(input, usable);
    const total = input.vms.map((vm) => vm.capacity).reduce(addResources, NO_RESOURCES);
    const shares = new TenantShares(input.active, input.cfg.quotas, total);
    const [urgent, batch] = [true, false].map((isUrgent) => {
      const tasks = input.pending.filter((task) => task.urgent === isUrgent);
      return this._placeAll(tasks, input, cycle, shares);
    });
    const restrictedVms = live.filter(
      (vm) => vm.startHold !== undefined && vm.urgentMayStart === true,
    );
    const urgentPlan = this._placeUrgentOnRestrictedVms(urgent, input, restrictedVms, shares);
    const plans = [urgentPlan, batch].filter((plan) => plan !== undefined);
    return {
      placements: plans.flatMap((plan) => plan.placements),
      waiting: plans.flatMap((plan) => plan.waiting),
    };
  }

  override recordOutcome(agent: string, started: boolean, now: number): void {
    this.recordAttempt({ agent, kind: "", outcome: started ? "completed" : "failed", now });
  }

  override recordAttempt(result: AttemptResult): void {
    this._quarantine.record(result);
  }

  /** Places the urgent tasks that found no other VM on VMs that admit only urgent tasks now. */
  private _placeUrgentOnRestrictedVms(
    plan: PlacementPlan | undefined,
    input: PlacementInput,
    vms: readonly VmRecord[],
    shares: TenantShares,
  ): PlacementPlan | undefined {
    if (plan === undefined || plan.waiting.length === 0 || vms.length === 0) {
      return plan;
    }
    const waiting = new Set(plan.waiting.map((reason) => reason.task));
    const tasks = input.pending.filter((task) => waiting.has(task.task));
    const retried = this._placeAll(tasks, input, this._createCycle(input, vms, false), shares);
    return { placements: [...plan.placements, ...retried.placements], waiting: retried.waiting };
  }

  private _createCycle(
    input: PlacementInput,
    vms: readonly VmRecord[],
    updatesReservations = true,
  ): PlacementCycle {
    const agents = vms.map((vm) => vm.agent);
    this._quarantine.retain(new Set(input.vms.map((vm) => vm.agent)));
    if (updatesReservations) {
      this._reservations.retain(new Set(input.pending.map((task) => task.task)), new Set(agents));
    }
    return new PlacementCycle({
      ...this._options,
      now: input.now,
      vms,
      allVms: input.vms,
      admissions: this._quarantine.getAdmissions(agents, input.now),
      reserved: this._reservations.getAgents(),
    });
  }

  private _placeAll(
    tasks: readonly PendingTask[],
    input: PlacementInput,
    cycle: PlacementCycle,
    shares: TenantShares,
  ): PlacementPlan {
    const queues = new TenantQueues(tasks, (tenant) => shares.getDominantShare(tenant));
    const placements: Placement[] = [];
    const waiting: WaitingReason[] = [];
    for (
      let task = queues.dequeue();
      task !== undefined && cycle.placed < input.limit;
      task = queues.dequeue()
    ) {
      const outcome = this._place(task, input.now, cycle, shares);
      if ("agent" in outcome) {
        placements.push(outcome);
        queues.update(task.tenant);
      } else {
        waiting.push(outcome);
      }
    }
    const undecidedCount = tasks.length - placements.length - waiting.length;
    return {
      placements,
      waiting: undecidedCount === 0 ? waiting : addUndecided(tasks, placements, waiting),
    };
  }

  private _place(
    task: PendingTask,
    now: number,
    cycle: PlacementCycle,
    shares: TenantShares,
  ): Placement | WaitingReason {
    const wanted = this._options.getSize(task.kind, task.resources);
    const refusal = shares.findRefusal(task.tenant, wanted);
    if (refusal !== undefined) {
      return { task: task.task, ...refusal };
    }
    const agent = this._chooseVm(task, wanted, now, cycle);
    if (agent === undefined) {
      return { task: task.task, ...cycle.explain(task, wanted, this._reservations.get(task.task)) };
    }
    shares.add(task.tenant, wanted);
    this._reservations.release(task.task);
    if (cycle.isProbe(agent)) {
      this._quarantine.recordProbe(agent, now);
    }
    return { task: task.task, agent };
  }

  private _chooseVm(
    task: PendingTask,
    wanted: Resources,
    now: number,
    cycle: PlacementCycle,
  ): string | undefined {
    const reservedAgent = this._reservations.get(task.task);
    const agent = cycle.place(task, wanted, reservedAgent);
    if (
      agent === undefined &&
      reservedAgent === undefined &&
      now - task.readyAt > RESERVE_AFTER_MS
    ) {
      const vms = cycle.vms.filter((vm) => fits(wanted, vm.capacity));
      const newReservation = this._reservations.reserve(task.task, wanted, vms);
      if (newReservation !== undefined) {
        cycle.addReserved(newReservation);
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
  const undecided = tasks
    .filter((task) => !decided.has(task.task))
    .map((task) => ({
      task: task.task,
      unschedulable: false,
      reason: "other tasks are scheduled first",
    }));
  return [...waiting, ...undecided];
}
