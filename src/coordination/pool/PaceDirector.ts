/**
 * Paces the runs on the idle processors of each worker by what the worker measured, tells placement
 * how much of an image each worker bears, and which runs would be better off elsewhere.
 */
import type { Log } from "../../protocol/platform/Log.ts";
import type { RunOrder, WorkerReport } from "./AgentChannel.ts";
import type { OrderSender } from "./OrderSender.ts";
import { DisturbanceGuard, type IdleRun, type ServingMeasure } from "./DisturbanceGuard.ts";
import { PressureEstimator } from "./PressureEstimator.ts";
import type { PairPressure } from "../../state/pool/records.ts";
import type { PoolState } from "./PoolState.ts";
import { getStepKey, type BookedRun } from "./RunBook.ts";
import { TailFilter } from "./TailFilter.ts";

/** Least time between two measures that are taken in: each covers half a second. */
const MEASURE_INTERVAL_MS = 400;
const FULL_PERCENT = 100;

/** What a director needs. */
export interface PaceDirectorParts {
  readonly state: PoolState;
  readonly orders: OrderSender;
  readonly log: Log;
  /** What a former scheduler has learnt of the pool's images. */
  readonly learnt: readonly PairPressure[];
}

/** Lists of which the measures were taken in last. */
interface MeasuredLists {
  /** Incarnation of the worker. */
  readonly worker: string;
  readonly callNumber: number;
  readonly at: number;
  /** Runs on idle processors that were among them. */
  readonly keys: ReadonlySet<string>;
}

/** Paces of one scheduler. */
export class PaceDirector {
  private readonly _parts: PaceDirectorParts;
  private readonly _estimator: PressureEstimator;
  private readonly _guard: DisturbanceGuard;
  private readonly _filter = new TailFilter();
  private readonly _measured = new Map<string, MeasuredLists>();
  /** Runs that their worker bears little of, by agent. */
  private readonly _unwelcome = new Map<string, readonly BookedRun[]>();

  /**
   * Creates a director.
   * @param parts - What it needs.
   */
  constructor(parts: PaceDirectorParts) {
    this._parts = parts;
    this._estimator = new PressureEstimator(parts.learnt);
    this._guard = new DisturbanceGuard(this._estimator);
  }

  /** Gives what is known of the images. */
  getPairs(): readonly PairPressure[] {
    return this._estimator.getPairs();
  }

  /**
   * Takes the measures of a report in and paces what they call for.
   * @param agent - Agent that reported.
   * @param report - The report.
   * @param now - Monotonic time in milliseconds.
   */
  handle(agent: string, report: WorkerReport, now: number): void {
    const { worker, callNumber } = report;
    const last = this._measured.get(agent);
    const isSoon = last !== undefined && now - last.at < MEASURE_INTERVAL_MS;
    if (isSoon || last?.callNumber === callNumber) {
      return;
    }
    const booked = this._parts.state.book
      .getByAgent(agent)
      .filter(({ active }) => active.worker === worker && active.phase === "running");
    const measures = new Map(report.running.map((run) => [`${run.task} ${run.run}`, run.measure]));
    const serving = booked.flatMap((run) => this._getServing(run, measures.get(getKey(run)), now));
    const byKey = new Map(
      booked
        .filter(({ task }) => task.definition.usesIdleProcessors)
        .map((run) => [getKey(run), run]),
    );
    const runs = [...byKey].map(([key, run]) => toIdleRun(key, run, measures.get(key), report));
    this._measured.set(agent, { worker, callNumber, at: now, keys: new Set(byKey.keys()) });
    if (last !== undefined && last.worker !== worker) {
      this._guard.forget(last.worker);
    }
    const decision = this._guard.decide({ worker, serving, runs, now });
    decision.paces.forEach(({ key, percent }) => {
      this._pace(byKey.get(key), percent, now);
    });
    const unwelcome = decision.moves.flatMap((key) => byKey.get(key) ?? []);
    this._unwelcome.set(agent, unwelcome);
  }

  /**
   * Tells whether what a run uses shows in what its worker bears.
   * @param booked - The run.
   */
  isMeasured(booked: BookedRun): boolean {
    return this._measured.get(booked.active.agent)?.keys.has(getKey(booked)) === true;
  }

  /** Gives runs that their workers bear little of, as they were measured last. */
  getUnwelcome(): readonly BookedRun[] {
    return [...this._unwelcome.values()].flat().flatMap(({ task, active: { run } }) => {
      const active = task.getRun(run);
      return active?.phase === "running" ? [{ task, active }] : [];
    });
  }

  /**
   * Notes that orders to pace may not have been carried out; the runs count as at full speed.
   * @param orders - The runs.
   */
  noteLost(orders: readonly RunOrder[]): void {
    orders.forEach(({ task, run }) => {
      this._parts.state.getTask(task)?.changeRun(run, { pacePercent: FULL_PERCENT });
    });
  }

  /**
   * Gives how much more of an image a worker bears, as a share of its processors.
   * @param worker - Incarnation of the worker.
   * @param serving - Images that serve there.
   * @param image - Image on idle processors.
   */
  getRoom(worker: string, serving: Iterable<string>, image: string): number {
    return this._guard.getRoom(worker, serving, image);
  }

  private _pace(run: BookedRun | undefined, percent: number, now: number): void {
    if (run === undefined) {
      return;
    }
    const { task, active } = run;
    task.changeRun(active.run, { pacePercent: percent, progressedAt: now });
    const order = { task: task.id, run: active.run, percent };
    this._parts.orders.pace(active.agent, active.worker, order);
    this._parts.log.info("Run is paced.", { ...order, agent: active.agent });
  }

  private _getServing(
    { task, active }: BookedRun,
    tailMs: number | undefined,
    now: number,
  ): readonly ServingMeasure[] {
    const { latencyTargetMs: targetMs, image } = task.definition;
    if (targetMs === undefined || tailMs === undefined || active.percent < FULL_PERCENT) {
      return [];
    }
    const key = getKey({ task, active });
    const currentMs = this._filter.note(key, tailMs, now);
    return [{ image, step: getStepKey(task.address), targetMs, tailMs, currentMs }];
  }
}

function toIdleRun(
  key: string,
  { task, active }: BookedRun,
  usedMilli = 0,
  { capacity }: WorkerReport,
): IdleRun {
  const { image, resources } = task.definition;
  const allMilli = Math.max(1, capacity.processorsMilli);
  const demand = Math.min(1, resources.processorsMilli / allMilli);
  return { key, image, used: usedMilli / allMilli, percent: active.pacePercent, demand };
}

function getKey({ task, active }: BookedRun): string {
  return `${task.id} ${active.run}`;
}
