/**
 * Slows tasks that live on idle processors where a task beside them that serves users comes close
 * to its latency target. Slowing is immediate and by halves, speeding up goes by small steps after
 * a calm time, since the measured latency lags.
 */

/** Share of the target above which tasks beside are slowed. */
const SLOW_DOWN_RATIO = 0.85;
/** Share of the target below which they may work faster. */
const SPEED_UP_RATIO = 0.65;
/** Least time between two reductions: the measured figure covers half a second. */
const SLOW_DOWN_INTERVAL_MS = 500;
/** Least time between a change and the next rise. */
const SPEED_UP_INTERVAL_MS = 1_000;
/** Rise of the share in one step, in percent. */
const SPEED_UP_PERCENT = 15;
/** Share below which a reduction goes to a standstill, in percent. */
const STANDSTILL_PERCENT = 12;
const FULL_PERCENT = 100;

/** A serving task as it was measured. */
export interface ServingMeasure {
  readonly targetMs: number;
  readonly tailMs: number;
}

interface WorkerPace {
  readonly percent: number;
  readonly changedAt: number;
}

/** Shares of the workers' tasks that live on idle processors. */
export class LatencyPacer {
  private readonly _paces = new Map<string, WorkerPace>();

  /**
   * Gives the share at which such tasks may work on a worker, from 0 to 100.
   * @param worker - Incarnation of the worker.
   */
  getPercent(worker: string): number {
    return this._paces.get(worker)?.percent ?? FULL_PERCENT;
  }

  /**
   * Takes measures in and gives the share that follows.
   * @param worker - Incarnation of the worker.
   * @param measures - Its serving tasks.
   * @param now - Monotonic time in milliseconds.
   */
  note(worker: string, measures: readonly ServingMeasure[], now: number): number {
    const ratio = Math.max(0, ...measures.map(({ targetMs, tailMs }) => tailMs / targetMs));
    const pace = this._paces.get(worker) ?? { percent: FULL_PERCENT, changedAt: 0 };
    const percent = getNextPercent(pace, ratio, now);
    if (percent === FULL_PERCENT && measures.length === 0) {
      this._paces.delete(worker);
    } else if (percent !== pace.percent) {
      this._paces.set(worker, { percent, changedAt: now });
    }
    return percent;
  }
}

function getNextPercent(pace: WorkerPace, ratio: number, now: number): number {
  const passedMs = now - pace.changedAt;
  if (ratio > SLOW_DOWN_RATIO && passedMs >= SLOW_DOWN_INTERVAL_MS) {
    const halved = Math.floor(pace.percent / 2);
    return halved < STANDSTILL_PERCENT ? 0 : halved;
  }
  if (ratio < SPEED_UP_RATIO && passedMs >= SPEED_UP_INTERVAL_MS) {
    return Math.min(FULL_PERCENT, pace.percent + SPEED_UP_PERCENT);
  }
  return pace.percent;
}
