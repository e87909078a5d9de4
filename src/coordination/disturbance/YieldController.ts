/**
 * Decides how batch work on one VM yields to the services there: throttle, then checkpoint, then
 * evict, in the order and within the limits of the profiles. Throttles are tightened immediately.
 * They are relaxed in steps after a calm period, and only as far as a smaller margin of the
 * tolerated disturbance allows, so that the two do not alternate. An eviction for disturbance
 * requires two consecutive reports in breach, each measured after the last throttle or eviction has
 * settled. If the profile includes throttling, the tasks must also be throttled to the floor.
 */
import { initialTransition, transition, type SnapshotFrom } from "xstate";
import type { DisturbanceEstimator } from "./DisturbanceEstimator.ts";
import type { KindShare } from "./KindShare.ts";
import { EvictionBudget } from "./EvictionBudget.ts";
import { getHeatYield } from "./heatYield.ts";
import { getBatchProcessorsMilli, getThrottleFloor, planThrottle } from "./planThrottle.ts";
import {
  getUtilisation,
  type YieldAction,
  type YieldDecision,
  type YieldInput,
  type YieldService,
  type YieldTask,
} from "./YieldInput.ts";
import { yieldMachine, type YieldEvent } from "./yieldLifecycle.ts";

/** Share of the tolerated disturbance to which throttles are tightened. */
const LOWER_MARGIN = 0.8;
/** Share of the tolerated disturbance up to which throttles are relaxed. */
const RAISE_MARGIN = 0.65;
/** Share of the tolerated disturbance up to which a task may start. */
const ADMIT_MARGIN = 0.65;
const STEP_PERCENT = 5;
const RAISE_STEP_PERCENT = 25;
const CALM_BEFORE_RAISE_MS = 6000;
const RAISE_INTERVAL_MS = 3000;
const THROTTLE_SETTLE_MS = 1000;
const BREACHES_BEFORE_EVICTION = 2;
const CHECKPOINT_WAIT_MS = 5000;
const FIRST_REPORT_WAIT_MS = 6000;
const BASELINE_WAIT_MS = 30_000;
const READMISSION_DELAY_MS = 60_000;
const EVICTION_RETRY_MS = 10_000;

/** Controls how batch work on one VM yields. */
export class YieldController {
  private readonly _estimator: DisturbanceEstimator;
  private readonly _budget = new EvictionBudget();
  private readonly _breaches = new Map<string, number>();
  private readonly _seenReports = new Map<string, number>();
  private readonly _checkpointRequestedAt = new Map<string, number>();
  private readonly _lastEvictionByKind = new Map<string, number>();
  private readonly _evictionOrderedAt = new Map<string, number>();
  private readonly _firstSeen = new Map<string, number>();
  private _lifecycle: SnapshotFrom<typeof yieldMachine>;
  private _changedAt = Number.NEGATIVE_INFINITY;
  private _loweredAt = Number.NEGATIVE_INFINITY;
  private _raisedAt = Number.NEGATIVE_INFINITY;

  /**
   * Creates a controller.
   * @param estimator - Estimator of the disturbance on this VM.
   */
  constructor(estimator: DisturbanceEstimator) {
    this._estimator = estimator;
    [this._lifecycle] = initialTransition(yieldMachine);
  }

  /** Gets the phase of the state machine. */
  getPhase(): string {
    return this._lifecycle.value as string;
  }

  /**
   * Decides on the actions for the tasks on the VM.
   * @param input - State of the VM.
   */
  decide(input: YieldInput): YieldDecision {
    this._forgetEndedTasks(input);
    input.services.forEach(({ service }) => this._recordFirstSeen(service, input.now));
    const heat = getHeatYield(
      input.services.map(({ profile }) => profile),
      input.heat.level,
    );
    const throttles = this._throttle(input);
    this._countBreaches(input);
    const evictions = heat.evict ? this._evictForHeat(input) : this._evictForDisturbance(input);
    const reason = heat.startTasks ? "" : `heat level ${input.heat.level}: ${input.heat.reason}`;
    return { actions: [...throttles, ...evictions], startTasks: heat.startTasks, reason };
  }

  /**
   * Returns why a task of a kind must not start on the VM now; undefined if it may. A task that
   * would disturb too much with all of its processors may start if it fits when throttled to the
   * floor.
   * @param input - State of the VM.
   * @param kind - Kind of the task.
   * @param processorsMilli - Processors that it requests, in thousandths of a core.
   * @param urgent - Whether the task is urgent; an urgent task does not wait for a baseline.
   */
  findStartRefusal(
    input: YieldInput,
    kind: string,
    processorsMilli: number,
    urgent = false,
  ): string | undefined {
    const used = input.tasks.reduce((sum, task) => sum + task.processorsMilli, 0);
    if (used + processorsMilli > getBatchProcessorsMilli(input)) {
      return "the processors outside the services' headroom are in use";
    }
    if (
      input.now - (this._lastEvictionByKind.get(kind) ?? Number.NEGATIVE_INFINITY) <
      READMISSION_DELAY_MS
    ) {
      return `a task of kind ${kind} was evicted from this VM within the last ${READMISSION_DELAY_MS / 1000} s`;
    }
    const hold = this.findStartHold(input);
    if (hold !== undefined) {
      return urgent ? undefined : hold;
    }
    const usedMilli = (processorsMilli * getThrottleFloor(input)) / 100;
    const share = { kind, share: usedMilli / input.capacityMilli };
    const mix = [...YieldController._getMix(input), share];
    const disturbed = input.services.find(
      (service) =>
        this._estimator.predictRise(service.service, mix, getUtilisation(service)) >
        (service.profile.toleratedDisturbancePercent / 100) * ADMIT_MARGIN,
    );
    return disturbed === undefined ? undefined : `${disturbed.service} would be disturbed`;
  }

  /**
   * Returns why no task of any kind may start on the VM now, apart from heat; undefined if some
   * may.
   * @param input - State of the VM.
   */
  findStartHold(input: YieldInput): string | undefined {
    const unknown = input.services.find((service) => this._isBaselineAwaited(service, input.now));
    return unknown && `the latency of ${unknown.service} without batch work is not known yet`;
  }

  /** Waits a limited time for reports, since a service may receive few requests or none. */
  private _isBaselineAwaited(service: YieldService, now: number): boolean {
    const { report } = service;
    if (
      report !== undefined &&
      this._estimator.isBaselineKnown(service.service, report.utilisation)
    ) {
      return false;
    }
    const sinceMs = now - this._recordFirstSeen(service.service, now);
    return sinceMs < (report === undefined ? FIRST_REPORT_WAIT_MS : BASELINE_WAIT_MS);
  }

  private _recordFirstSeen(service: string, now: number): number {
    const seenAt = this._firstSeen.get(service) ?? now;
    this._firstSeen.set(service, seenAt);
    return seenAt;
  }

  private _throttle(input: YieldInput): readonly YieldAction[] {
    const lower = planThrottle(input, this._estimator, LOWER_MARGIN);
    const lowered = input.tasks.flatMap((task) => {
      const percent = roundDown(lower.get(task.task) ?? 100, getThrottleFloor(input));
      return percent < task.throttlePercent ? [this._createThrottle(input, task, percent)] : [];
    });
    if (lowered.length > 0) {
      this._loweredAt = input.now;
      this._changedAt = input.now;
      this._transition(this._isFloored(input, lower) ? "FLOORED" : "LOWERED");
      return lowered;
    }
    return this._raiseThrottles(input);
  }

  private _raiseThrottles(input: YieldInput): readonly YieldAction[] {
    const isCalm = input.now - this._loweredAt >= CALM_BEFORE_RAISE_MS;
    if (!isCalm || input.now - this._raisedAt < RAISE_INTERVAL_MS) {
      return [];
    }
    const plan = planThrottle(input, this._estimator, RAISE_MARGIN);
    const raised = input.tasks.flatMap((task) => {
      const target = roundDown(plan.get(task.task) ?? 0, getThrottleFloor(input));
      const percent = Math.min(target, task.throttlePercent + RAISE_STEP_PERCENT);
      return percent > task.throttlePercent ? [this._createThrottle(input, task, percent)] : [];
    });
    if (raised.length > 0) {
      this._raisedAt = input.now;
      this._changedAt = input.now;
      this._transition("RAISED");
    } else if (input.tasks.every(({ throttlePercent }) => throttlePercent === 100)) {
      this._transition("RELEASED");
    }
    return raised;
  }

  private _createThrottle(input: YieldInput, task: YieldTask, percent: number): YieldAction {
    const direction = percent < task.throttlePercent ? "lowered" : "raised";
    const rises = input.services.map((service) => {
      const pair = this._estimator.getPairEstimate(
        service.service,
        task.kind,
        getUtilisation(service),
      );
      const { rise } = pair;
      return `the latency of ${service.service} would rise by ${Math.round(rise * 100)}% if kind ${task.kind} used all processors`;
    });
    const reason = `${direction} from ${task.throttlePercent}% at heat level ${input.heat.level}: ${rises.join(", ")}`;
    return { kind: "throttle", task: task.task, percent, reason };
  }

  private _isFloored(input: YieldInput, plan: ReadonlyMap<string, number>): boolean {
    const floor = getThrottleFloor(input);
    return input.tasks.every(({ task }) => (plan.get(task) ?? 0) <= floor);
  }

  private _countBreaches(input: YieldInput): void {
    input.services.forEach(({ service, profile, report }) => {
      if (report === undefined || report.measuredAt <= (this._seenReports.get(service) ?? -1)) {
        return;
      }
      this._seenReports.set(service, report.measuredAt);
      const rise = this._estimator.getMeasuredRise(report) ?? 0;
      const noise = this._estimator.getExcessNoise(service);
      const isBreached =
        rise > profile.toleratedDisturbancePercent / 100 + noise ||
        (rise > noise && report.latencyMs > profile.latencyObjectiveMs);
      const counts = isBreached && report.measuredAt >= this._changedAt + THROTTLE_SETTLE_MS;
      this._breaches.set(service, counts ? (this._breaches.get(service) ?? 0) + 1 : 0);
    });
  }

  private _evictForDisturbance(input: YieldInput): readonly YieldAction[] {
    const breached = input.services.find(
      ({ service, profile }) =>
        (this._breaches.get(service) ?? 0) >= BREACHES_BEFORE_EVICTION &&
        this._hasThrottledAll(input, profile.yieldOrder.includes("throttle")),
    );
    const worst = breached && this._findMostDisturbing(input, breached);
    if (breached === undefined || worst === undefined) {
      return [];
    }
    const { service, profile } = breached;
    const reason = `${service} is disturbed beyond ${profile.toleratedDisturbancePercent}% although tasks of kind ${worst.kind} are throttled as far as allowed`;
    if (!profile.yieldOrder.includes("evict")) {
      return this._checkpointIfAllowed(input, breached, worst, reason);
    }
    if (!this._budget.allows(service, profile.maxEvictionsPerMinute, input.now)) {
      return [];
    }
    const actions = this._evict(input, [breached], worst, reason);
    if (actions.some(({ kind }) => kind === "evict")) {
      this._budget.record(service, input.now);
      this._breaches.clear();
    }
    return actions;
  }

  private _evictForHeat(input: YieldInput): readonly YieldAction[] {
    const reason = `heat level ${input.heat.level}: ${input.heat.reason}`;
    return input.tasks.flatMap((task) => this._evict(input, input.services, task, reason));
  }

  /**
   * Evicts a task, after a checkpoint if a profile requires one. The wait for the checkpoint is
   * limited.
   */
  private _evict(
    input: YieldInput,
    services: readonly YieldService[],
    task: YieldTask,
    reason: string,
  ): readonly YieldAction[] {
    const orderedAt = this._evictionOrderedAt.get(task.task) ?? Number.NEGATIVE_INFINITY;
    if (input.now - orderedAt < EVICTION_RETRY_MS) {
      return [];
    }
    const checkpoint = services.some(({ profile }) => profile.yieldOrder.includes("checkpoint"));
    if (checkpoint && !this._isCheckpointDone(input, task)) {
      return this._requestCheckpoint(input, task, reason);
    }
    this._evictionOrderedAt.set(task.task, input.now);
    this._lastEvictionByKind.set(task.kind, input.now);
    this._changedAt = input.now;
    return [{ kind: "evict", task: task.task, checkpoint, reason }];
  }

  private _checkpointIfAllowed(
    input: YieldInput,
    breached: YieldService,
    task: YieldTask,
    reason: string,
  ): readonly YieldAction[] {
    const isAllowed = breached.profile.yieldOrder.includes("checkpoint");
    return isAllowed ? this._requestCheckpoint(input, task, reason) : [];
  }

  private _requestCheckpoint(
    input: YieldInput,
    task: YieldTask,
    reason: string,
  ): readonly YieldAction[] {
    if (this._checkpointRequestedAt.has(task.task)) {
      return [];
    }
    this._checkpointRequestedAt.set(task.task, input.now);
    return [{ kind: "checkpoint", task: task.task, reason }];
  }

  private _isCheckpointDone(input: YieldInput, task: YieldTask): boolean {
    const requestedAt = this._checkpointRequestedAt.get(task.task);
    if (requestedAt === undefined) {
      return false;
    }
    const isTaken = task.checkpointedAt !== undefined && task.checkpointedAt >= requestedAt;
    return isTaken || input.now - requestedAt >= CHECKPOINT_WAIT_MS;
  }

  private _hasThrottledAll(input: YieldInput, throttlesFirst: boolean): boolean {
    const floor = getThrottleFloor(input);
    return (
      !throttlesFirst ||
      this._lifecycle.matches("floored") ||
      input.tasks.every(({ throttlePercent }) => throttlePercent <= floor)
    );
  }

  private _findMostDisturbing(input: YieldInput, service: YieldService): YieldTask | undefined {
    const utilisation = getUtilisation(service);
    const loads = input.tasks.map((task) => ({
      task,
      load:
        this._estimator.getPairEstimate(service.service, task.kind, utilisation).rise *
        task.processorsMilli,
    }));
    return loads.toSorted((a, b) => b.load - a.load || b.task.startedAt - a.task.startedAt)[0]
      ?.task;
  }

  private _forgetEndedTasks(input: YieldInput): void {
    const running = new Set(input.tasks.map(({ task }) => task));
    [...this._checkpointRequestedAt.keys()]
      .filter((task) => !running.has(task))
      .forEach((task) => this._checkpointRequestedAt.delete(task));
    [...this._evictionOrderedAt.keys()]
      .filter((task) => !running.has(task))
      .forEach((task) => this._evictionOrderedAt.delete(task));
    [...this._lastEvictionByKind]
      .filter(([, at]) => input.now - at >= READMISSION_DELAY_MS)
      .forEach(([kind]) => this._lastEvictionByKind.delete(kind));
  }

  private _transition(type: YieldEvent["type"]): void {
    [this._lifecycle] = transition(yieldMachine, this._lifecycle, { type });
  }

  private static _getMix(input: YieldInput): readonly KindShare[] {
    return input.tasks.map((task) => ({
      kind: task.kind,
      share: (task.processorsMilli * task.throttlePercent) / 100 / input.capacityMilli,
    }));
  }
}

/**
 * Rounds down to a multiple of the step, so that small changes of the estimates cause no orders,
 * but not below the floor.
 */
function roundDown(percent: number, floor: number): number {
  const rounded = Math.floor(percent / STEP_PERCENT + 1e-9) * STEP_PERCENT;
  return Math.max(Math.min(floor, percent), rounded);
}
