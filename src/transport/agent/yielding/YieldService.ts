/**
 * Makes batch tasks on one VM yield to its backend servers: collects the input of the yield
 * controller, executes the actions that it decides on, and records its decisions with their reasons.
 */
import {
  DisturbanceEstimator,
  type LatencyReport,
} from "../../../coordination/disturbance/DisturbanceEstimator.ts";
import {
  HeatTracker,
  type HeatDecision,
  type HeatReport,
} from "../../../coordination/disturbance/HeatTracker.ts";
import type { KindShare } from "../../../coordination/disturbance/KindShare.ts";
import {
  LatencyAggregator,
  type ServerWindow,
} from "../../../coordination/disturbance/LatencyAggregator.ts";
import { YieldController } from "../../../coordination/disturbance/YieldController.ts";
import {
  getUtilisation,
  type YieldAction,
  type YieldInput,
  type YieldService as ServiceInput,
  type YieldTask,
} from "../../../coordination/disturbance/YieldInput.ts";
import { formatTaskKey, type TaskKey } from "../../../coordination/tasks/TaskKey.ts";
import type { TaskRecord } from "../../../coordination/tasks/TaskRecord.ts";
import type { ConfigSnapshot } from "../../../protocol/config/ConfigDocument.ts";
import type { Clock, Timer } from "../../../protocol/platform/Clock.ts";
import type { Log } from "../../../protocol/platform/Log.ts";
import { DecisionLog, type DecisionEntry } from "../../../state/DecisionLog.ts";
import type { Resources } from "../../../protocol/Resources.ts";
import type { StartCandidate } from "../tasks/TaskServiceOptions.ts";

const TICK_MS = 500;
/** Time for which an ordered throttle overrides the worker's report, which may lag behind. */
const ORDER_PRECEDENCE_MS = 5000;
/** Time without a report after which a service counts as gone from the VM. */
const SERVICE_EXPIRY_MS = 30_000;
/** Number of first reports of a service that do not count towards its baseline latency. */
const WARM_UP_REPORTS = 3;
const UNKNOWN_HEAT: HeatDecision = { level: 0, reason: "not decided yet", isAssumed: false };

/** Access to the batch tasks of a VM, for reading and controlling them. */
export interface BatchTaskControl {
  getTasks(): readonly TaskRecord[];
  getCapacity(): Resources;
  getHeatReport(): HeatReport | undefined;
  throttle(key: TaskKey, percent: number): Promise<boolean>;
  checkpoint(key: TaskKey): Promise<boolean>;
  evict(key: TaskKey, reason: string): Promise<void>;
}

/** Dependencies of the service. */
export interface YieldServiceDependencies {
  readonly vm: string;
  readonly zone: string;
  readonly clock: Clock;
  readonly log: Log;
  readonly tasks: BatchTaskControl;
  readonly getConfig: () => ConfigSnapshot | undefined;
}

/** State of yielding on a VM, as operators see it. */
export interface YieldExplanation {
  readonly revision: number | undefined;
  readonly heat: HeatDecision;
  readonly phase: string;
  readonly services: readonly object[];
  readonly tasks: readonly object[];
  readonly decisions: readonly (Omit<DecisionEntry, "at" | "subject"> & {
    readonly ageMs: number;
  })[];
}

interface OrderedThrottle {
  readonly percent: number;
  readonly at: number;
}

/** Yielding of the batch tasks on one VM. */
export class YieldService {
  private readonly _deps: YieldServiceDependencies;
  private readonly _estimator = new DisturbanceEstimator();
  private readonly _controller = new YieldController(this._estimator);
  private readonly _heatTracker = new HeatTracker();
  private readonly _windows = new LatencyAggregator(WARM_UP_REPORTS);
  private readonly _decisions = new DecisionLog();
  private readonly _reports = new Map<string, LatencyReport>();
  private readonly _lastSeenAt = new Map<string, number>();
  private readonly _throttles = new Map<string, OrderedThrottle>();
  private readonly _checkpointedAt = new Map<string, number>();
  private _heat = UNKNOWN_HEAT;
  private _startHold = "";
  private _timer: Timer | undefined;

  /**
   * Creates the service without starting it.
   * @param deps - Dependencies of the service.
   */
  constructor(deps: YieldServiceDependencies) {
    this._deps = deps;
  }

  /** Makes a decision at once and then at regular intervals. */
  start(): void {
    this._decide();
    this._timer = this._deps.clock.after(TICK_MS, () => {
      this.start();
    });
  }

  /** Stops making decisions. */
  stop(): void {
    this._timer?.cancel();
  }

  /**
   * Records the last report windows of the backend servers.
   * @param windows - Windows of the reports, one for each backend server.
   */
  recordServerReports(windows: readonly ServerWindow[]): void {
    const now = this._deps.clock.now();
    windows.forEach((window) => {
      this._lastSeenAt.set(window.service, now);
      const report = this._windows.add(window, now);
      if (report !== undefined) {
        this._reports.set(report.service, report);
        this._estimator.observe(report);
      }
    });
  }

  /**
   * Gets the reason why a task must not start now; undefined if it may. An urgent task does not wait
   * until the latency without batch tasks is known.
   * @param candidate - The task.
   */
  findStartHold({ kind, resources, urgent }: StartCandidate): string | undefined {
    const input = this._createInput();
    if (input === undefined || input.services.length === 0) {
      return undefined;
    }
    const hold =
      this._startHold === ""
        ? this._controller.findStartRefusal(input, kind, resources.processorsMilli, urgent)
        : this._startHold;
    if (hold !== undefined) {
      this._recordDecisionIfNew(`hold back tasks of kind ${kind}`, hold);
    }
    return hold;
  }

  /** Gets the reason why no task may start on the VM; empty if some may. */
  getStartHold(): string {
    const input = this._createInput();
    if (input === undefined || this._startHold !== "") {
      return this._startHold;
    }
    return this._controller.findStartHold(input) ?? "";
  }

  /** Returns whether urgent tasks may start even while the latency without batch tasks is unknown. */
  mayStartUrgent(): boolean {
    return this._startHold === "";
  }

  /** Gets the state of yielding for operators. */
  getExplanation(): YieldExplanation {
    const now = this._deps.clock.now();
    const input = this._createInput();
    const shares = input === undefined ? [] : getKindShares(input);
    return {
      revision: this._deps.getConfig()?.revision,
      heat: this._heat,
      phase: this._controller.getPhase(),
      services: (input?.services ?? []).map((service) => this._explainService(service, shares)),
      tasks: (input?.tasks ?? []).map(({ task, kind, processorsMilli, throttlePercent }) => ({
        task,
        kind,
        processorsMilli,
        throttlePercent,
      })),
      decisions: this._decisions
        .getEntries(this._deps.vm)
        .map(({ at, decision, reason }) => ({ ageMs: Math.round(now - at), decision, reason })),
    };
  }

  private _explainService(
    { service, profile, report }: ServiceInput,
    shares: readonly KindShare[],
  ) {
    const utilisation = getUtilisation({ service, profile, report });
    const document = this._deps.getConfig()?.document;
    return {
      service,
      profile: document?.assignments[service],
      toleratedDisturbancePercent: profile.toleratedDisturbancePercent,
      predictedRise: this._estimator.predictRise(service, shares, utilisation),
      measuredRise: report && this._estimator.getMeasuredRise(report),
      pairs: Object.fromEntries(
        shares.map(({ kind }) => [
          kind,
          this._estimator.getPairEstimate(service, kind, utilisation),
        ]),
      ),
    };
  }

  private _decide(): void {
    const now = this._deps.clock.now();
    this._decideHeat(now);
    const input = this._createInput();
    if (input === undefined) {
      return;
    }
    this._estimator.recordMix(now, getKindShares(input));
    const decision = this._controller.decide(input);
    this._startHold = decision.startTasks ? "" : decision.reason;
    const tasks = new Map(this._getRunning().map((record) => [formatTaskKey(record), record]));
    decision.actions.forEach((action) => {
      const record = tasks.get(action.task);
      if (record !== undefined) {
        void this._execute(record, action, now);
      }
    });
    this._forgetEnded(tasks);
  }

  private _decideHeat(now: number): void {
    const { zone, tasks, getConfig } = this._deps;
    const levels = getConfig()?.document.heatLevels ?? {};
    const operatorLevel = Object.hasOwn(levels, zone) ? (levels[zone] ?? 0) : 0;
    const report = tasks.getHeatReport();
    const heat = this._heatTracker.decide({ now, operatorLevel, report });
    if (heat.level !== this._heat.level || heat.isAssumed !== this._heat.isAssumed) {
      this._recordDecision(`heat level ${heat.level}`, heat.reason);
    }
    this._heat = heat;
  }

  private _createInput(): YieldInput | undefined {
    const document = this._deps.getConfig()?.document;
    const capacityMilli = this._deps.tasks.getCapacity().processorsMilli;
    if (document === undefined || capacityMilli === 0) {
      return undefined;
    }
    const now = this._deps.clock.now();
    const services = [...this._lastSeenAt]
      .filter(([, seenAt]) => now - seenAt < SERVICE_EXPIRY_MS)
      .flatMap(([service]): readonly ServiceInput[] => {
        const name = Object.hasOwn(document.assignments, service)
          ? document.assignments[service]
          : undefined;
        const profile = name === undefined ? undefined : document.profiles[name];
        return profile === undefined
          ? []
          : [{ service, profile, report: this._reports.get(service) }];
      });
    const tasks = this._getRunning().map((record) => this._describeTask(record, now));
    return { now, capacityMilli, services, tasks, heat: this._heat };
  }

  private _getRunning(): readonly TaskRecord[] {
    return this._deps.tasks.getTasks().filter(({ phase }) => phase === "running");
  }

  private _describeTask(record: TaskRecord, now: number): YieldTask {
    const task = formatTaskKey(record);
    const ordered = this._throttles.get(task);
    const isRecent = ordered !== undefined && now - ordered.at < ORDER_PRECEDENCE_MS;
    return {
      task,
      kind: record.kind,
      processorsMilli: record.resources.processorsMilli,
      throttlePercent: isRecent ? ordered.percent : record.throttlePercent,
      startedAt: record.changedAt,
      checkpointedAt: this._checkpointedAt.get(task),
    };
  }

  private async _execute(record: TaskRecord, action: YieldAction, now: number): Promise<void> {
    const { tasks } = this._deps;
    if (action.kind === "throttle") {
      const percent = action.percent ?? 100;
      this._recordDecision(`throttle ${action.task} to ${percent}%`, action.reason);
      this._throttles.set(action.task, { percent, at: now });
      if (!(await tasks.throttle(record, percent))) {
        this._throttles.delete(action.task);
      }
      return;
    }
    this._recordDecision(`${action.kind} ${action.task}`, action.reason);
    if (action.kind === "evict") {
      await tasks.evict(record, action.reason);
      return;
    }
    if (await tasks.checkpoint(record)) {
      this._checkpointedAt.set(action.task, this._deps.clock.now());
    }
  }

  private _forgetEnded(running: ReadonlyMap<string, TaskRecord>): void {
    [this._throttles, this._checkpointedAt].forEach((known) => {
      [...known.keys()].filter((task) => !running.has(task)).forEach((task) => known.delete(task));
    });
  }

  private _recordDecision(decision: string, reason: string): void {
    const { vm, clock, log } = this._deps;
    this._decisions.record({ at: clock.now(), subject: vm, decision, reason });
    log.info("A decision on the yielding of batch tasks was made.", { decision, reason });
  }

  private _recordDecisionIfNew(decision: string, reason: string): void {
    const last = this._decisions.getEntries(this._deps.vm).findLast((entry) => {
      return entry.decision === decision;
    });
    if (last?.reason !== reason) {
      this._recordDecision(decision, reason);
    }
  }
}

function getKindShares(input: YieldInput): readonly KindShare[] {
  const shares = input.tasks.map((task) => ({
    kind: task.kind,
    share: (task.processorsMilli * task.throttlePercent) / 100 / input.capacityMilli,
  }));
  const kinds = Map.groupBy(shares, ({ kind }) => kind);
  return [...kinds].map(([kind, members]) => ({
    kind,
    share: members.reduce((sum, { share }) => sum + share, 0),
  }));
}
