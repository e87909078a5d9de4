/**
 * Sets the pace of the runs on the idle processors of each worker from the worker's measurements,
 * provides placement with the share of an image that each worker tolerates, and lists the runs that
 * should move to other workers.
 */
import type { Log } from "../../protocol/platform/Log.ts";
import type { RunOrder, WorkerReport } from "./AgentChannel.ts";
import type { OrderSender } from "./OrderSender.ts";
import {
  DisturbanceLimiter,
  type IdleProcessorRun,
  type ServingMeasurement,
} from "./DisturbanceLimiter.ts";
import { InterferenceEstimator } from "./InterferenceEstimator.ts";
import type { PairInterference } from "../../state/pool/records.ts";
import type { PoolState } from "./PoolState.ts";
import { formatRunKey, getRunKey, type ActiveTaskRun } from "./ActiveRunTable.ts";
import { TailLatencyFilter } from "./TailLatencyFilter.ts";

/** Minimum time between two evaluated measurements, in milliseconds: each covers half a second. */
const MIN_MEASUREMENT_INTERVAL_MS = 400;
const FULL_PERCENT = 100;

/** Dependencies of a pace controller. */
export interface PaceControllerDependencies {
  readonly state: PoolState;
  readonly orders: OrderSender;
  readonly log: Log;
  /** Interference estimates of a previous scheduler. */
  readonly priors: readonly PairInterference[];
}

/** Lists of a worker whose measurements were evaluated last. */
interface LastMeasurement {
  /** Incarnation of the worker. */
  readonly worker: string;
  readonly callNumber: number;
  readonly at: number;
  /** Runs on idle processors that the lists contained. */
  readonly runKeys: ReadonlySet<string>;
}

/** Controls the paces of the runs of one scheduler. */
export class PaceController {
  private readonly _deps: PaceControllerDependencies;
  private readonly _estimator: InterferenceEstimator;
  private readonly _limiter: DisturbanceLimiter;
  private readonly _tailLatencyFilter = new TailLatencyFilter();
  private readonly _lastMeasurements = new Map<string, LastMeasurement>();
  /** Runs that their worker tolerates only at a low pace, by agent. */
  private readonly _runsToMove = new Map<string, readonly ActiveTaskRun[]>();

  /**
   * Creates a controller.
   * @param deps - State, order sender, log and estimates of a previous scheduler.
   */
  constructor(deps: PaceControllerDependencies) {
    this._deps = deps;
    this._estimator = new InterferenceEstimator(deps.priors);
    this._limiter = new DisturbanceLimiter(this._estimator);
  }

  /** Returns the interference estimates of all observed pairs of images. */
  getPairs(): readonly PairInterference[] {
    return this._estimator.getPairs();
  }

  /**
   * Evaluates the measurements in a report and sets the paces that follow from them.
   * @param agent - Agent that sent the report.
   * @param report - The report.
   * @param now - Monotonic time in milliseconds.
   */
  handleReport(agent: string, report: WorkerReport, now: number): void {
    const { worker, callNumber } = report;
    const last = this._lastMeasurements.get(agent);
    const isTooSoon = last !== undefined && now - last.at < MIN_MEASUREMENT_INTERVAL_MS;
    if (isTooSoon || last?.callNumber === callNumber) {
      return;
    }
    const activeRuns = this._deps.state.activeRuns
      .getByAgent(agent)
      .filter(({ active }) => active.worker === worker && active.phase === "running");
    const measurements = new Map(
      report.running.map(({ task, run, measure }) => [formatRunKey(task, run), measure]),
    );
    const serving = activeRuns.flatMap((run) =>
      this._getServingMeasurements(run, measurements.get(getRunKey(run)), now),
    );
    const byKey = new Map(
      activeRuns
        .filter(({ task }) => task.definition.usesIdleProcessors)
        .map((run) => [getRunKey(run), run]),
    );
    const runs = [...byKey].map(([key, run]) =>
      toIdleProcessorRun(key, run, measurements.get(key), report),
    );
    this._lastMeasurements.set(agent, {
      worker,
      callNumber,
      at: now,
      runKeys: new Set(byKey.keys()),
    });
    if (last !== undefined && last.worker !== worker) {
      this._limiter.forget(last.worker);
    }
    const decision = this._limiter.decide({ worker, serving, runs, now });
    decision.paces.forEach(({ key, percent }) => {
      this._pace(byKey.get(key), percent, now);
    });
    const runsToMove = decision.moves.flatMap((key) => byKey.get(key) ?? []);
    this._runsToMove.set(agent, runsToMove);
  }

  /**
   * Returns whether the last evaluated measurement of its worker includes a run.
   * @param taskRun - The run.
   */
  isMeasured(taskRun: ActiveTaskRun): boolean {
    return (
      this._lastMeasurements.get(taskRun.active.agent)?.runKeys.has(getRunKey(taskRun)) === true
    );
  }

  /** Returns the runs that their workers tolerated only at a low pace at the last measurement. */
  getRunsToMove(): readonly ActiveTaskRun[] {
    return [...this._runsToMove.values()].flat().flatMap(({ task, active: { run } }) => {
      const active = task.getRun(run);
      return active?.phase === "running" ? [{ task, active }] : [];
    });
  }

  /**
   * Records full speed for runs whose pace orders may not have been executed, so that the next
   * measurement paces them again.
   * @param orders - The runs.
   */
  resetPaces(orders: readonly RunOrder[]): void {
    orders.forEach(({ task, run }) => {
      this._deps.state.getTask(task)?.updateRun(run, { pacePercent: FULL_PERCENT });
    });
  }

  /**
   * Returns how much more of an image a worker tolerates, as a share of its processors.
   * @param worker - Incarnation of the worker.
   * @param serving - Images of the serving tasks that run there.
   * @param image - Image on idle processors.
   */
  getToleratedShare(worker: string, serving: Iterable<string>, image: string): number {
    return this._limiter.getToleratedShare(worker, serving, image);
  }

  private _pace(run: ActiveTaskRun | undefined, percent: number, now: number): void {
    if (run === undefined) {
      return;
    }
    const { task, active } = run;
    task.updateRun(active.run, { pacePercent: percent, progressedAt: now });
    const order = { task: task.id, run: active.run, percent };
    this._deps.orders.pace(active.agent, active.worker, order);
    this._deps.log.info("Pace of a run was changed.", { ...order, agent: active.agent });
  }

  private _getServingMeasurements(
    { task, active }: ActiveTaskRun,
    tailMs: number | undefined,
    now: number,
  ): readonly ServingMeasurement[] {
    const { latencyTargetMs: targetMs, image } = task.definition;
    if (targetMs === undefined || tailMs === undefined || active.percent < FULL_PERCENT) {
      return [];
    }
    const key = getRunKey({ task, active });
    const currentMs = this._tailLatencyFilter.update(key, tailMs, now);
    return [{ image, step: task.stepKey, targetMs, tailMs, currentMs }];
  }
}

function toIdleProcessorRun(
  key: string,
  { task, active }: ActiveTaskRun,
  usedMilli = 0,
  { capacity }: WorkerReport,
): IdleProcessorRun {
  const { image, resources } = task.definition;
  const totalMilli = Math.max(1, capacity.processorsMilli);
  const demand = Math.min(1, resources.processorsMilli / totalMilli);
  return { key, image, used: usedMilli / totalMilli, percent: active.pacePercent, demand };
}
