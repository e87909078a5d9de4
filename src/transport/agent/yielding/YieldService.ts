/**
 * Makes batch work on one VM yield: gathers what the decisions look at, carries out what they
 * order, and keeps the decisions with their reasons.
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
  LatencyWindow,
  type ServerWindow,
} from "../../../coordination/disturbance/LatencyWindow.ts";
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
/** Time for which an order counts although the worker's lagging report says otherwise. */
const ORDER_TRUST_MS = 5000;
/** Age from which a service counts as gone from the VM. */
const SERVICE_EXPIRY_MS = 30_000;
/** First reports of a service that do not count towards its base latency. */
const WARM_UP_REPORTS = 3;
const NO_HEAT: HeatDecision = { level: 0, reason: "nothing known yet", isAssumed: false };

/** What the batch work of a VM offers to yielding. */
export interface YieldTasks {
  getTasks(): readonly TaskRecord[];
  getCapacity(): Resources;
  getHeatReport(): HeatReport | undefined;
  throttle(key: TaskKey, percent: number): Promise<boolean>;
  checkpoint(key: TaskKey): Promise<boolean>;
  evict(key: TaskKey, reason: string): Promise<void>;
}

/** What the service works with. */
export interface YieldServiceParts {
  readonly vm: string;
  readonly zone: string;
  readonly clock: Clock;
  readonly log: Log;
  readonly tasks: YieldTasks;
  readonly getConfig: () => ConfigSnapshot | undefined;
}

/** What an operator is told about yielding on a VM. */
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

/** Yielding of batch work on one VM. */
export class YieldService {
  private readonly _parts: YieldServiceParts;
  private readonly _estimator = new DisturbanceEstimator();
  private readonly _controller = new YieldController(this._estimator);
  private readonly _heatTracker = new HeatTracker();
  private readonly _windows = new LatencyWindow(WARM_UP_REPORTS);
  private readonly _decisions = new DecisionLog();
  private readonly _reports = new Map<string, LatencyReport>();
  private readonly _seenAt = new Map<string, number>();
  private readonly _throttles = new Map<string, OrderedThrottle>();
  private readonly _checkpoints = new Map<string, number>();
  private _heat = NO_HEAT;
  private _startHold = "";
  private _timer: Timer | undefined;

  /**
   * Creates the service; it does nothing until it is started.
   * @param parts - What it works with.
   */
  constructor(parts: YieldServiceParts) {
    this._parts = parts;
  }

  /** Begins to decide. */
  start(): void {
    this._decide();
    this._timer = this._parts.clock.after(TICK_MS, () => {
      this.start();
    });
  }

  /** Decides no more. */
  stop(): void {
    this._timer?.cancel();
  }

  /**
   * Takes in the report windows of the backend servers.
   * @param windows - The windows.
   */
  noteServers(windows: readonly ServerWindow[]): void {
    const now = this._parts.clock.now();
    windows.forEach((window) => {
      this._seenAt.set(window.service, now);
      const report = this._windows.add(window, now);
      if (report !== undefined) {
        this._reports.set(report.service, report);
        this._estimator.observe(report);
      }
    });
  }

  /**
   * Tells why a task must not start now; undefined where it may. An urgent one does not wait until
   * the latency without batch work is known.
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
      this._noteOnce(`hold back tasks of kind ${kind}`, hold);
    }
    return hold;
  }

  /** Tells why no task may start on the VM; empty where some may. */
  getStartHold(): string {
    const input = this._createInput();
    if (input === undefined || this._startHold !== "") {
      return this._startHold;
    }
    return this._controller.findHold(input) ?? "";
  }

  /** Tells whether urgent tasks may start on the VM whatever the latency that is not known yet. */
  mayStartUrgent(): boolean {
    return this._startHold === "";
  }

  /** Tells what an operator may want to know. */
  getExplanation(): YieldExplanation {
    const now = this._parts.clock.now();
    const input = this._createInput();
    const mix = input === undefined ? [] : getMix(input);
    return {
      revision: this._parts.getConfig()?.revision,
      heat: this._heat,
      phase: this._controller.getPhase(),
      services: (input?.services ?? []).map((service) => this._explainService(service, mix)),
      tasks: (input?.tasks ?? []).map(({ task, kind, processorsMilli, throttlePercent }) => ({
        task,
        kind,
        processorsMilli,
        throttlePercent,
      })),
      decisions: this._decisions
        .getEntries(this._parts.vm)
        .map(({ at, decision, reason }) => ({ ageMs: Math.round(now - at), decision, reason })),
    };
  }

  private _explainService({ service, profile, report }: ServiceInput, mix: readonly KindShare[]) {
    const utilisation = getUtilisation({ service, profile, report });
    const document = this._parts.getConfig()?.document;
    return {
      service,
      profile: document?.assignments[service],
      toleratedDisturbancePercent: profile.toleratedDisturbancePercent,
      predictedRise: this._estimator.predictRise(service, mix, utilisation),
      measuredRise: report && this._estimator.getMeasuredRise(report),
      pairs: Object.fromEntries(
        mix.map(({ kind }) => [kind, this._estimator.getPair(service, kind, utilisation)]),
      ),
    };
  }

  private _decide(): void {
    const now = this._parts.clock.now();
    this._decideHeat(now);
    const input = this._createInput();
    if (input === undefined) {
      return;
    }
    this._estimator.noteMix(now, getMix(input));
    const decision = this._controller.decide(input);
    this._startHold = decision.startTasks ? "" : decision.reason;
    const tasks = new Map(this._getRunning().map((record) => [formatTaskKey(record), record]));
    decision.actions.forEach((action) => {
      const record = tasks.get(action.task);
      if (record !== undefined) {
        void this._carryOut(record, action, now);
      }
    });
    this._forgetEnded(tasks);
  }

  private _decideHeat(now: number): void {
    const { zone, tasks, getConfig } = this._parts;
    const levels = getConfig()?.document.heatLevels ?? {};
    const operatorLevel = Object.hasOwn(levels, zone) ? (levels[zone] ?? 0) : 0;
    const report = tasks.getHeatReport();
    const heat = this._heatTracker.decide({ now, operatorLevel, report });
    if (heat.level !== this._heat.level || heat.isAssumed !== this._heat.isAssumed) {
      this._note(`heat level ${heat.level}`, heat.reason);
    }
    this._heat = heat;
  }

  private _createInput(): YieldInput | undefined {
    const document = this._parts.getConfig()?.document;
    const capacityMilli = this._parts.tasks.getCapacity().processorsMilli;
    if (document === undefined || capacityMilli === 0) {
      return undefined;
    }
    const now = this._parts.clock.now();
    const services = [...this._seenAt]
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
    return this._parts.tasks.getTasks().filter(({ phase }) => phase === "running");
  }

  private _describeTask(record: TaskRecord, now: number): YieldTask {
    const task = formatTaskKey(record);
    const ordered = this._throttles.get(task);
    const isTrusted = ordered !== undefined && now - ordered.at < ORDER_TRUST_MS;
    return {
      task,
      kind: record.kind,
      processorsMilli: record.resources.processorsMilli,
      throttlePercent: isTrusted ? ordered.percent : record.throttlePercent,
      startedAt: record.changedAt,
      checkpointedAt: this._checkpoints.get(task),
    };
  }

  private async _carryOut(record: TaskRecord, action: YieldAction, now: number): Promise<void> {
    const { tasks } = this._parts;
    if (action.kind === "throttle") {
      const percent = action.percent ?? 100;
      this._note(`throttle ${action.task} to ${percent}%`, action.reason);
      this._throttles.set(action.task, { percent, at: now });
      if (!(await tasks.throttle(record, percent))) {
        this._throttles.delete(action.task);
      }
      return;
    }
    this._note(`${action.kind} ${action.task}`, action.reason);
    if (action.kind === "evict") {
      await tasks.evict(record, action.reason);
      return;
    }
    if (await tasks.checkpoint(record)) {
      this._checkpoints.set(action.task, this._parts.clock.now());
    }
  }

  private _forgetEnded(running: ReadonlyMap<string, TaskRecord>): void {
    [this._throttles, this._checkpoints].forEach((known) => {
      [...known.keys()].filter((task) => !running.has(task)).forEach((task) => known.delete(task));
    });
  }

  private _note(decision: string, reason: string): void {
    const { vm, clock, log } = this._parts;
    this._decisions.note({ at: clock.now(), subject: vm, decision, reason });
    log.info("Decided how batch work yields.", { decision, reason });
  }

  private _noteOnce(decision: string, reason: string): void {
    const last = this._decisions.getEntries(this._parts.vm).findLast((entry) => {
      return entry.decision === decision;
    });
    if (last?.reason !== reason) {
      this._note(decision, reason);
    }
  }
}

function getMix(input: YieldInput): readonly KindShare[] {
  const shares = input.tasks.map((task) => ({
    kind: task.kind,
    share: (task.processorsMilli * task.throttlePercent) / 100 / input.capacityMilli,
  }));
  const kinds = Map.groupBy(shares, ({ kind }) => kind);
  return [...kinds].map(([kind, parts]) => ({
    kind,
    share: parts.reduce((sum, { share }) => sum + share, 0),
  }));
}
