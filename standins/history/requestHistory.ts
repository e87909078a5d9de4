/**
 * Checks a history of requests: what callers were told against what the backend servers did.
 */
import type { BackendEvent } from "../backend/BackendJournal.ts";
import type { CallOutcome } from "../callers/CallerLoad.ts";

const IDEMPOTENT_METHODS: readonly string[] = ["GET", "HEAD", "PUT", "DELETE"];

/**
 * Finds what must not happen to a request.
 * @param outcomes - What callers were told.
 * @param events - What the backend servers recorded.
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
    .map((event) => `${event.method} ${event.path} ran again at ${event.server}`);
}

function findMisreported(
  outcome: CallOutcome,
  runs: ReadonlyMap<string, number>,
): readonly string[] {
  const { path, status, verdict, isValid: whole } = outcome;
  const ran = (runs.get(path) ?? 0) > 0;
  return [
    ...(verdict === "not-run" && ran ? [`${path} was told not-run and ran`] : []),
    ...(verdict === "ran" && !ran ? [`${path} was told ran and did not run`] : []),
    ...(status === 200 && !whole ? [`${path} got an answer that is not its own or not whole`] : []),
    ...(status !== undefined && verdict === undefined ? [`${path} got no verdict`] : []),
  ];
}
