/**
 * Finds runs in the journal of a simulated pool that must not have taken place.
 */
import { addResources, fits, NO_RESOURCES } from "../../../src/protocol/Resources.ts";
import type { JournalCapacity, JournalRun } from "../../../standins/pool/poolJournal.ts";

/**
 * Time from the announcement of a smaller capacity until it counts, in milliseconds: the time after
 * which machines are in touch, and a heartbeat.
 */
const CAPACITY_NOTICE_MS = 4_000;

/**
 * Finds runs of one task that overlapped.
 * @param task - Id of the task.
 * @param runs - Its runs.
 */
export function findOverlaps(task: string, runs: readonly JournalRun[]): readonly string[] {
  const inOrder = runs.toSorted((a, b) => a.startedAt - b.startedAt);
  return inOrder.slice(1).flatMap((run, position) => {
    const before = inOrder[position];
    const endedAt = before?.endedAt ?? Number.POSITIVE_INFINITY;
    return run.startedAt < endedAt
      ? [
          `${task}: run ${run.run} on ${run.worker} started during run ${before?.run ?? 0} on ${before?.worker ?? ""}`,
        ]
      : [];
  });
}

/**
 * Finds runs that started after a successful end of the task had been acknowledged.
 * @param task - Id of the task.
 * @param runs - Its runs.
 */
export function findStartsAfterEnd(task: string, runs: readonly JournalRun[]): readonly string[] {
  const doneAt = runs
    .filter(({ outcome, isAcknowledged }) => outcome === "done" && isAcknowledged === true)
    .map(({ endedAt }) => endedAt ?? 0);
  return runs
    .filter(({ startedAt }) => doneAt.some((at) => startedAt > at))
    .map(({ run, worker }) => `${task}: run ${run} on ${worker} started after the task was done`);
}

/**
 * Finds starts that brought a worker over its capacity. Whatever has not ended counts, also what is
 * being stopped. A capacity counts as smaller from some time after its announcement; that time is
 * compared with the arrival of the order, so that an order that was executed late is not blamed for
 * a change in the meantime. All else that was started in the meantime counts.
 * @param journal - All runs, in the order of their starts.
 * @param capacities - All announced capacities, in the order of their announcements.
 */
export function findOverCapacity(
  journal: readonly JournalRun[],
  capacities: readonly JournalCapacity[],
): readonly string[] {
  const byWorker = Map.groupBy(capacities, ({ worker }) => worker);
  return journal.flatMap((run, position) => {
    const { worker, task, startedAt } = run;
    const before = journal
      .slice(0, position)
      .filter((other) => other.worker === worker && (other.endedAt ?? Infinity) > startedAt);
    const used = [...before, run].reduce(
      (sum, { resources }) => addResources(sum, resources),
      NO_RESOURCES,
    );
    const limits = getCapacitiesInForce(byWorker.get(worker) ?? [], run);
    const isOver = !limits.some((limit) => fits(used, limit));
    const limitMilli = Math.max(...limits.map(({ processorsMilli }) => processorsMilli));
    return isOver
      ? [
          `${Math.round(startedAt)} ms: ${task} run ${run.run} brings ${worker} to ${used.processorsMilli} ` +
            `of ${limitMilli} processors (thousandths)`,
        ]
      : [];
  });
}

/** Returns the capacities of a worker of which a scheduler may have known when it ordered a run. */
function getCapacitiesInForce(
  capacities: readonly JournalCapacity[],
  { orderedAt, startedAt }: JournalRun,
): readonly JournalCapacity["capacity"][] {
  const countsFrom = orderedAt - CAPACITY_NOTICE_MS;
  const last = capacities.findLast(({ announcedAt }) => announcedAt <= countsFrom);
  const later = capacities.filter(
    ({ announcedAt }) => announcedAt > countsFrom && announcedAt <= startedAt,
  );
  return [...(last === undefined ? [] : [last]), ...later].map(({ capacity }) => capacity);
}
