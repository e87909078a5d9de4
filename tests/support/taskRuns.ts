/**
 * Runs of tasks, derived from the journals of the workers, and a check that no task runs twice.
 */
import type { WorkerEvent } from "../../standins/worker/WorkerJournal.ts";

/** Run of an attempt on a VM; times are milliseconds of the machine's monotonic clock. */
export interface TaskRun {
  readonly task: string;
  readonly attempt: number;
  readonly vm: string;
  readonly from: number;
  /** End of the run, or its last recorded step if it has not ended. */
  readonly to: number;
  readonly workFromMs: number;
  readonly workToMs: number;
  readonly phase: "running" | "stopped" | "completed" | "failed";
}

/**
 * Gets the runs of all tasks, ordered by start.
 * @param events - Journals of the workers, ordered by time.
 */
export function getRuns(events: readonly WorkerEvent[]): readonly TaskRun[] {
  const runs = new Map<string, TaskRun>();
  const update = (key: string, change: Partial<TaskRun>): void => {
    const run = runs.get(key);
    if (run !== undefined) {
      runs.set(key, { ...run, ...change });
    }
  };
  events.forEach((event) => {
    if (event.event === "start") {
      const { task, attempt, vm, at, workFromMs } = event;
      const shared = {
        task,
        attempt,
        vm,
        workFromMs,
        workToMs: workFromMs,
        phase: "running" as const,
      };
      runs.set(`${vm} ${task}#${attempt}`, { ...shared, from: at, to: at });
    } else if (event.event === "step") {
      event.steps.forEach(({ task, attempt, workToMs }) => {
        update(`${event.vm} ${task}#${attempt}`, { to: event.at, workToMs });
      });
    } else if (event.event === "end") {
      const { task, attempt, vm, at, phase, workMs } = event;
      update(`${vm} ${task}#${attempt}`, { to: at, phase, workToMs: workMs });
    }
  });
  return [...runs.values()];
}

/**
 * Finds runs of the same task that overlap in time, and tasks that completed more than once.
 * @param runs - Runs of all tasks.
 */
export function findDoubleRuns(runs: readonly TaskRun[]): readonly string[] {
  const byTask = Map.groupBy(runs, (run) => run.task);
  return [...byTask].flatMap(([task, runsOfTask]) => {
    const ordered = runsOfTask.toSorted((a, b) => a.from - b.from);
    const overlaps = ordered.filter((run, index) =>
      ordered.slice(0, index).some((before) => before.to > run.from),
    );
    const completed = ordered.filter((run) => run.phase === "completed");
    return [
      ...overlaps.map(
        (run) => `${task}#${run.attempt} on ${run.vm} started before another run of the task ended`,
      ),
      ...(completed.length > 1 ? [`${task} completed ${completed.length} times`] : []),
    ];
  });
}
