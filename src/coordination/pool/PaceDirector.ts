/**
 * Paces the runs on the idle processors of each worker by what the worker measured, and rates
 * workers for placement by what such a run would do to the serving tasks there.
 */
import type { Log } from "../../protocol/platform/Log.ts";
import type { RunOrder, WorkerReport } from "./AgentChannel.ts";
import type { OrderSender } from "./OrderSender.ts";
import { DisturbanceGuard, type IdleRun } from "./DisturbanceGuard.ts";
import { PressureEstimator, type ServingMeasure } from "./PressureEstimator.ts";
import type { PoolState } from "./PoolState.ts";
import type { BookedRun } from "./RunBook.ts";
import { TailFilter } from "./TailFilter.ts";

/** Least time between two measures that are taken in: each covers half a second. */
const MEASURE_INTERVAL_MS = 400;
const FULL_PERCENT = 100;

/** What a director needs. */
export interface PaceDirectorParts {
  readonly state: PoolState;
  readonly orders: OrderSender;
  readonly log: Log;
  readonly stop: (booked: BookedRun, reason: string) => void;
}

/** Paces of one scheduler. */
export class PaceDirector {
  private readonly _parts: PaceDirectorParts;
  private readonly _guard = new DisturbanceGuard(new PressureEstimator());
  private readonly _filter = new TailFilter();
  private readonly _measuredAt = new Map<string, number>();

  /**
   * Creates a director.
   * @param parts - What it needs.
   */
  constructor(parts: PaceDirectorParts) {
    this._parts = parts;
  }

  /**
   * Takes the measures of a report in and paces what they call for.
   * @param agent - Agent that reported.
   * @param report - The report.
   * @param now - Monotonic time in milliseconds.
   */
  handle(agent: string, report: WorkerReport, now: number): void {
    const measuredAt = this._measuredAt.get(agent) ?? Number.NEGATIVE_INFINITY;
    if (now - measuredAt < MEASURE_INTERVAL_MS) {
      return;
    }
    const { worker } = report;
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
    const runs = [...byKey].map(([key, run]) => toIdleRun(key, run, measures.get(key)));
    this._measuredAt.set(agent, now);
    const decision = this._guard.decide({ worker, serving, runs, now });
    decision.paces.forEach(({ key, percent }) => {
      this._pace(byKey.get(key), percent, now);
    });
    decision.moves.forEach((key) => {
      const run = byKey.get(key);
      if (run !== undefined) {
        this._parts.stop(run, "it disturbs tasks that serve users");
      }
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
   * Tells whether an image is known to disturb tasks that serve.
   * @param serving - Images that serve.
   * @param image - Image beside them.
   * @param now - Monotonic time in milliseconds.
   */
  isDisturbing(serving: Iterable<string>, image: string, now: number): boolean {
    return this._guard.isDisturbing(serving, image, now);
  }

  /**
   * Tells whether an image may disturb tasks that serve, as far as is known.
   * @param serving - Images that serve.
   * @param image - Image beside them.
   * @param now - Monotonic time in milliseconds.
   */
  mayDisturb(serving: Iterable<string>, image: string, now: number): boolean {
    return this._guard.mayDisturb(serving, image, now);
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
    const currentMs = this._filter.note(getKey({ task, active }), tailMs, now);
    return [{ image, targetMs, tailMs, currentMs }];
  }
}

function toIdleRun(key: string, { task, active }: BookedRun, usedMilli = 0): IdleRun {
  return { key, image: task.definition.image, usedMilli, percent: active.pacePercent };
}

function getKey({ task, active }: BookedRun): string {
  return `${task.id} ${active.run}`;
}
