/**
 * Paces the runs on the idle processors of each worker by what the worker measured, and rates
 * workers for placement by what such a run would do to the serving tasks there.
 */
import type { Log } from "../../protocol/platform/Log.ts";
import type { StepDefinition } from "../../protocol/pool/JobDefinition.ts";
import type { WorkerReport } from "./AgentChannel.ts";
import type { OrderSender } from "./OrderSender.ts";
import { getRatio, getWorst, PacePlanner, type PacedRun } from "./PacePlanner.ts";
import { PressureEstimator, type ServingMeasure } from "./PressureEstimator.ts";
import type { BookedRun, RunBook } from "./RunBook.ts";

/** Share of its declared processors that a run is expected to use where it was not measured. */
const EXPECTED_USE = 0.7;
const FULL_PERCENT = 100;

/** What a director needs. */
export interface PaceDirectorParts {
  readonly book: RunBook;
  readonly orders: OrderSender;
  readonly log: Log;
}

/** A worker as it was measured last. */
interface MeasuredWorker {
  readonly serving: readonly ServingMeasure[];
  readonly runs: readonly PacedRun[];
}

/** Paces of one scheduler. */
export class PaceDirector {
  private readonly _parts: PaceDirectorParts;
  private readonly _estimator = new PressureEstimator();
  private readonly _planner = new PacePlanner(this._estimator);
  private readonly _workers = new Map<string, MeasuredWorker>();

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
    const { book, orders, log } = this._parts;
    const { worker } = report;
    const booked = book
      .getByAgent(agent)
      .filter(({ active }) => active.worker === worker && active.phase === "running");
    const measures = new Map(report.running.map((run) => [`${run.task} ${run.run}`, run.measure]));
    const serving = booked.flatMap((run) => getServing(run, measures.get(getKey(run))));
    const byKey = new Map(
      booked
        .filter(({ task }) => task.definition.usesIdleProcessors)
        .map((run) => [getKey(run), run]),
    );
    const runs = [...byKey].map(([key, run]) => toPacedRun(key, run, measures.get(key)));
    this._workers.set(agent, { serving, runs });
    this._planner.plan({ worker, serving, runs, now }).forEach(({ key, percent }) => {
      const run = byKey.get(key);
      if (run !== undefined) {
        const { task, active } = run;
        task.changeRun(active.run, { pacePercent: percent, progressedAt: now });
        orders.pace(agent, worker, { task: task.id, run: active.run, percent });
        const { image } = task.definition;
        log.debug("Run is paced.", { task: task.id, run: active.run, agent, image, percent });
      }
    });
  }

  /**
   * Predicts how close a serving task on a worker would come to its target beside one more run.
   * @param agent - Agent of the worker.
   * @param definition - Step of the run.
   * @returns Share of the target; 0 where nothing there serves.
   */
  predictRatio(agent: string, definition: StepDefinition): number {
    const measured = this._workers.get(agent);
    const worst = getWorst(measured?.serving ?? []);
    if (measured === undefined || worst === undefined) {
      return 0;
    }
    const { image } = definition;
    const usedMilli = definition.resources.processorsMilli * EXPECTED_USE;
    const before = this._estimator.getRise(worst.image, measured.runs);
    const added = this._estimator.getRise(worst.image, [{ image, usedMilli }]);
    return (getRatio(worst) * (1 + before + added)) / (1 + before);
  }
}

function getServing({ task }: BookedRun, tailMs: number | undefined): readonly ServingMeasure[] {
  const { latencyTargetMs: targetMs, image } = task.definition;
  return targetMs === undefined || tailMs === undefined ? [] : [{ image, targetMs, tailMs }];
}

function toPacedRun(key: string, { task, active }: BookedRun, measure = 0): PacedRun {
  const { image, resources } = task.definition;
  const percent = active.pacePercent;
  const expectedMilli = resources.processorsMilli * EXPECTED_USE;
  const measuredMilli = percent > 0 ? (measure * FULL_PERCENT) / percent : 0;
  const fullMilli = Math.min(resources.processorsMilli, Math.max(expectedMilli, measuredMilli));
  return { key, image, usedMilli: measure, percent, fullMilli };
}

function getKey({ task, active }: BookedRun): string {
  return `${task.id} ${active.run}`;
}
