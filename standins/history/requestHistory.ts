/**
 * Checks a history of requests: compares the outcomes that callers saw with the journals of the
 * backend servers.
 */
import type { BackendEvent } from "../backend/BackendJournal.ts";
import type { CallOutcome } from "../callers/CallerLoad.ts";

const IDEMPOTENT_METHODS: readonly string[] = ["GET", "HEAD", "PUT", "DELETE"];

/**
 * Finds non-idempotent requests that ran twice and outcomes that contradict the journals.
 * @param outcomes - Outcomes that callers saw.
 * @param events - Journals of the backend servers.
 * @returns One sentence for each violation.
 */
export function findRequestViolations(
  outcomes: readonly CallOutcome[],
  events: readonly BackendEvent[],
): readonly string[] {
  const runs = countRuns(events);
  return [
    ...findRepeatedRuns(events),
    ...outcomes.flatMap((outcome) => findMisreported(outcome, runs)),
  ];
}

function countRuns(events: readonly BackendEvent[]): ReadonlyMap<string, number> {
  const runs = new Map<string, number>();
  events
    .filter((event) => event.event === "request-start")
    .forEach((event) => runs.set(event.path, (runs.get(event.path) ?? 0) + 1));
  return runs;
}

function findRepeatedRuns(events: readonly BackendEvent[]): readonly string[] {
  const seen = new Set<string>();
  return events
    .filter((event) => event.event === "request-start")
    .filter((event) => !IDEMPOTENT_METHODS.includes(event.method))
    .filter((event) => {
      const repeated = seen.has(event.path);
      seen.add(event.path);
      return repeated;
    })
    .map((event) => `${event.method} ${event.path} ran more than once, again on ${event.server}`);
}

function findMisreported(
  outcome: CallOutcome,
  runs: ReadonlyMap<string, number>,
): readonly string[] {
  const { path, status, verdict, isValid } = outcome;
  const ran = (runs.get(path) ?? 0) > 0;
  return [
    ...(verdict === "not-run" && ran ? [`${path}: verdict not-run, but the request ran`] : []),
    ...(verdict === "ran" && !ran ? [`${path}: verdict ran, but the request did not run`] : []),
    ...(status === 200 && !isValid
      ? [`${path}: response is incomplete or belongs to another request`]
      : []),
    ...(status !== undefined && verdict === undefined ? [`${path}: response has no verdict`] : []),
  ];
}
