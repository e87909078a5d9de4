/**
 * Paces the runs on the idle processors of each worker by what the worker measured, tells placement
 * how much of an image each worker bears, and which runs would be better off elsewhere.
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
import { getStepKey, type ActiveTaskRun } from "./ActiveRunTable.ts";
import { TailLatencyFilter } from "./TailLatencyFilter.ts";

/** Least time between two measures that are taken in: each covers half a second. */
const MIN_MEASUREMENT_INTERVAL_MS = 400;
const FULL_PERCENT = 100;

/** What a director needs. */
export interface PaceControllerDependencies {
  readonly state: PoolState;
  readonly orders: OrderSender;
  readonly log: Log;
  /** What a former scheduler has learnt of the pool's images. */
  readonly priors: readonly PairInterference[];
}

/** Lists of which the measures were taken in last. */
interface LastMeasurement {
  /** Incarnation of the worker. */
  readonly worker: string;
  readonly callNumber: number;
  readonly at: number;
  /** Runs on idle processors that were among them. */
  readonly runKeys: ReadonlySet<string>;
}

/** Paces of one scheduler. */
export class PaceController {
  private readonly _deps: PaceControllerDependencies;
  private readonly _estimator: InterferenceEstimator;
  private readonly _limiter: DisturbanceLimiter;
  private readonly _tailLatencyFilter = new TailLatencyFilter();
  private readonly _lastMeasurements = new Map<string, LastMeasurement>();
  /** Runs that their worker bears little of, by agent. */
  private readonly _runsToMove = new Map<string, readonly ActiveTaskRun[]>();

  /**
   * Creates a director.
   * @param deps - What it needs.
   */
  constructor(deps: PaceControllerDependencies) {
    this._deps = deps;
    this._estimator = new InterferenceEstimator(deps.priors);
    this._limiter = new DisturbanceLimiter(this._estimator);
  }

  /** Gives what is known of the images. */
  getPairs(): readonly PairInterference[] {
    return this._estimator.getPairs();
  }

  /**
   * Takes the measures of a report in and paces what they call for.
   * @param agent - Agent that reported.
   * @param report - The report.
   * @param now - Monotonic time in milliseconds.
   */
  handleReport(agent: string, report: WorkerReport, now: number): void {
    const { worker, callNumber } = report;
    const last = this._lastMeasurements.get(agent);
    const isSoon = last !== undefined && now - last.at < MIN_MEASUREMENT_INTERVAL_MS;
    if (isSoon || last?.callNumber === callNumber) {
      return;
    }
    const booked = this._deps.state.activeRuns
      .getByAgent(agent)
      .filter(({ active }) => active.worker === worker && active.phase === "running");
    const measures = new Map(report.running.map((run) => [`${run.task} ${run.run}`, run.measure]));
    const serving = booked.flatMap((run) =>
      this._getServingMeasurements(run, measures.get(getKey(run)), now),
    );
    const byKey = new Map(
      booked
        .filter(({ task }) => task.definition.usesIdleProcessors)
        .map((run) => [getKey(run), run]),
    );
    const runs = [...byKey].map(([key, run]) =>
      toIdleProcessorRun(key, run, measures.get(key), report),
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
    const unwelcome = decision.moves.flatMap((key) => byKey.get(key) ?? []);
    this._runsToMove.set(agent, unwelcome);
  }

  /**
   * Tells whether what a run uses shows in what its worker bears.
   * @param booked - The run.
   */
  isMeasured(booked: ActiveTaskRun): boolean {
    return this._lastMeasurements.get(booked.active.agent)?.runKeys.has(getKey(booked)) === true;
  }

  /** Gives runs that their workers bear little of, as they were measured last. */
  getRunsToMove(): readonly ActiveTaskRun[] {
    return [...this._runsToMove.values()].flat().flatMap(({ task, active: { run } }) => {
      const active = task.getRun(run);
      return active?.phase === "running" ? [{ task, active }] : [];
    });
  }

  /**
   * Notes that orders to pace may not have been carried out; the runs count as at full speed.
   * @param orders - The runs.
   */
  resetPaces(orders: readonly RunOrder[]): void {
    orders.forEach(({ task, run }) => {
      this._deps.state.getTask(task)?.updateRun(run, { pacePercent: FULL_PERCENT });
    });
  }

  /**
   * Gives how much more of an image a worker bears, as a share of its processors.
   * @param worker - Incarnation of the worker.
   * @param serving - Images that serve there.
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
    this._deps.log.info("Run is paced.", { ...order, agent: active.agent });
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
    const key = getKey({ task, active });
    const currentMs = this._tailLatencyFilter.update(key, tailMs, now);
    return [{ image, step: getStepKey(task.address), targetMs, tailMs, currentMs }];
  }
}

function toIdleProcessorRun(
  key: string,
  { task, active }: ActiveTaskRun,
  usedMilli = 0,
  { capacity }: WorkerReport,
): IdleProcessorRun {
  const { image, resources } = task.definition;
  const allMilli = Math.max(1, capacity.processorsMilli);
  const demand = Math.min(1, resources.processorsMilli / allMilli);
  return { key, image, used: usedMilli / allMilli, percent: active.pacePercent, demand };
}

function getKey({ task, active }: ActiveTaskRun): string {
  return `${task.id} ${active.run}`;
}
