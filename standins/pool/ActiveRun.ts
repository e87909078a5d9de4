/**
 * Run of a worker stand-in that has not ended yet, and how the worker lists it.
 */
import type { RunningRun } from "../../src/protocol/platform/PoolWorker.ts";
import type { JournalRun } from "./poolJournal.ts";

/** Run that has not ended yet. */
export interface ActiveRun {
  readonly entry: JournalRun;
  /** When its work is done; infinite for a task that does not end by itself. */
  readonly endsAt: number;
  /** When it ends because of a stop order; undefined for none. */
  stopsAt: number | undefined;
}

/**
 * Lists a run as a response of the worker does.
 * @param run - The run.
 * @param now - Current time, in milliseconds.
 */
export function listRun({ entry, endsAt }: ActiveRun, now: number): RunningRun {
  const { task, run, startedAt } = entry;
  return { task, run, checkpoint: "", percent: getPercent(startedAt, endsAt, now), measure: 0 };
}

function getPercent(startedAt: number, endsAt: number, now: number): number {
  if (endsAt === Number.POSITIVE_INFINITY) {
    return 100;
  }
  const share = (now - startedAt) / (endsAt - startedAt);
  return Math.floor(100 * Math.min(1, share));
}
