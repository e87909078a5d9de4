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
  type AttemptNote,
  type PendingTask,
  type Placement,
  type PlacementInput,
  type PlacementPlan,
  type WaitingReason,
} from "../batch/Placer.ts";
import { BestFitRule } from "./BestFitRule.ts";
import type { FitRule } from "./FitRule.ts";
import { PlacementRound } from "./PlacementRound.ts";
import { TenantQueues } from "./TenantQueues.ts";
import { TenantShares } from "./TenantShares.ts";
import { VmEarmarks } from "./VmEarmarks.ts";
import { WorkerQuarantine } from "./WorkerQuarantine.ts";

/** Age from which the report of a VM is not relied on, in milliseconds. */
const STALE_REPORT_MS = 10_000;
/** Wait after which a VM is kept free for a task, in milliseconds. */
const EARMARK_AFTER_MS = 10_000;

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
  private readonly _earmarks = new VmEarmarks();

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
    const round = this._createRound(input, usable);
    const total = input.vms.map((vm) => vm.capacity).reduce(addResources, NO_RESOURCES);
    const shares = new TenantShares(input.held, input.cfg.quotas, total);
    const [urgent, batch] = [true, false].map((isUrgent) => {
      const tasks = input.pending.filter((task) => task.urgent === isUrgent);
      return this._placeAll(tasks, input, round, shares);
    });
    const held = live.filter((vm) => vm.startHold !== undefined && vm.urgentMayStart === true);
    const rescued = this._placeOnHeld(urgent, input, held, shares);
    const plans = [rescued, batch].filter((plan) => plan !== undefined);
    return {
      placements: plans.flatMap((plan) => plan.placements),
      waiting: plans.flatMap((plan) => plan.waiting),
    };
  }

  override noteOutcome(agent: string, started: boolean, now: number): void {
    this.noteAttempt({ agent, kind: "", outcome: started ? "completed" : "failed", now });
  }

  override noteAttempt(note: AttemptNote): void {
    this._quarantine.note(note);
  }

  /** Places the urgent tasks that wait on VMs that hold back all others. */
  private _placeOnHeld(
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
    const more = this._placeAll(tasks, input, this._createRound(input, held, false), shares);
    return { placements: [...plan.placements, ...more.placements], waiting: more.waiting };
  }

  private _createRound(
    input: PlacementInput,
    usable: readonly VmRecord[],
    isWhole = true,
  ): PlacementRound {
    const agents = usable.map((vm) => vm.agent);
    this._quarantine.retain(new Set(input.vms.map((vm) => vm.agent)));
    if (isWhole) {
      this._earmarks.retain(new Set(input.pending.map((task) => task.task)), new Set(agents));
    }
    return new PlacementRound({
      ...this._options,
      now: input.now,
      vms: usable,
      allVms: input.vms,
      admissions: this._quarantine.getAdmissions(agents, input.now),
      earmarked: this._earmarks.getAgents(),
    });
  }

  private _placeAll(
    tasks: readonly PendingTask[],
    input: PlacementInput,
    round: PlacementRound,
    shares: TenantShares,
  ): PlacementPlan {
    const queues = new TenantQueues(tasks, (tenant) => shares.getDominantShare(tenant));
    const placements: Placement[] = [];
    const waiting: WaitingReason[] = [];
    for (
      let task = queues.take();
      task !== undefined && round.placed < input.limit;
      task = queues.take()
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
    return { placements, waiting: left === 0 ? waiting : addLeft(tasks, placements, waiting) };
  }

  private _place(
    task: PendingTask,
    now: number,
    round: PlacementRound,
    shares: TenantShares,
  ): Placement | WaitingReason {
    const wanted = this._options.getSize(task.kind, task.resources);
    const refusal = shares.findRefusal(task.tenant, wanted);
    if (refusal !== undefined) {
      return { task: task.task, ...refusal };
    }
    const agent = this._choose(task, wanted, now, round);
    if (agent === undefined) {
      return { task: task.task, ...round.explain(task, wanted, this._earmarks.get(task.task)) };
    }
    shares.add(task.tenant, wanted);
    this._earmarks.release(task.task);
    if (round.isProbe(agent)) {
      this._quarantine.noteProbe(agent, now);
    }
    return { task: task.task, agent };
  }

  private _choose(
    task: PendingTask,
    wanted: Resources,
    now: number,
    round: PlacementRound,
  ): string | undefined {
    const marked = this._earmarks.get(task.task);
    const agent = round.place(task, wanted, marked);
    if (agent === undefined && marked === undefined && now - task.readyAt > EARMARK_AFTER_MS) {
      const vms = round.vms.filter((vm) => fits(wanted, vm.capacity));
      const mark = this._earmarks.mark(task.task, wanted, vms);
      if (mark !== undefined) {
        round.keepFree(mark);
      }
    }
    return agent;
  }
}

function addLeft(
  tasks: readonly PendingTask[],
  placements: readonly Placement[],
  waiting: readonly WaitingReason[],
): readonly WaitingReason[] {
  const decided = new Set([...placements, ...waiting].map((outcome) => outcome.task));
  const left = tasks
    .filter((task) => !decided.has(task.task))
    .map((task) => ({ task: task.task, parked: false, reason: "other tasks go first" }));
  return [...waiting, ...left];
}
