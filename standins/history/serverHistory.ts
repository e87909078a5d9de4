/**
 * Checks a history of backend servers: the limit of their slots, and graceful shutdowns.
 */
import type { BackendEvent } from "../backend/BackendJournal.ts";

/**
 * Finds requests that a server started when all of its slots were in use.
 * @param events - Journals of the backend servers.
 * @param slots - Slots of each server.
 * @returns One sentence for each violation.
 */
export function findSlotViolations(
  events: readonly BackendEvent[],
  slots: number,
): readonly string[] {
  return events
    .filter((event) => event.event === "request-start")
    .filter((event) => event.inUse > slots)
    .map((event) => `${event.server} ran ${event.inUse} requests in ${slots} slots: ${event.path}`);
}

/**
 * Finds requests that reached a server too late after the start of its graceful shutdown, and
 * requests in flight that the shutdown interrupted.
 * @param events - Journals of the backend servers, ordered by time.
 * @param graceMs - Time after the announcement of a shutdown in which new requests may arrive, in
 *   milliseconds.
 * @returns One sentence for each violation.
 */
export function findDrainViolations(
  events: readonly BackendEvent[],
  graceMs: number,
): readonly string[] {
  return events
    .filter((event) => event.event === "draining")
    .flatMap((drain) => {
      const serverEvents = events.filter(
        (event) => event.server === drain.server && event.at >= drain.at,
      );
      return [
        ...findLateStarts(serverEvents, drain.at + graceMs),
        ...findCutRequests(serverEvents),
      ];
    });
}

function findLateStarts(events: readonly BackendEvent[], limit: number): readonly string[] {
  return events
    .filter((event) => event.event === "request-start")
    .filter((event) => event.at > limit)
    .map((event) => `${event.server}: ${event.path} arrived ${event.at - limit} ms too late`);
}

function findCutRequests(events: readonly BackendEvent[]): readonly string[] {
  return events
    .filter((event) => event.event === "request-end")
    .filter((event) => !event.delivered)
    .map((event) => `${event.server}: response of ${event.requestId} was not delivered`);
}
