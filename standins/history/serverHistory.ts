/**
 * Checks a history of backend servers: slots, and what a graceful shutdown must not do.
 */
import type { BackendEvent } from "../backend/BackendJournal.ts";

/**
 * Finds moments at which a server ran more requests than it has slots.
 * @param events - What the backend servers recorded.
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
 * Finds requests that reached a server too long after it began its graceful shutdown, and requests
 * in flight that the shutdown cut off.
 * @param events - What the backend servers recorded, in the order of time.
 * @param graceMs - Time allowed between the announcement of a shutdown and the last new request.
 * @returns One sentence for each violation.
 */
export function findDrainViolations(
  events: readonly BackendEvent[],
  graceMs: number,
): readonly string[] {
  return events
    .filter((event) => event.event === "draining")
    .flatMap((drain) => {
      const own = events.filter((event) => event.server === drain.server && event.at >= drain.at);
      return [...findLateStarts(own, drain.at + graceMs), ...findCutRequests(own)];
    });
}

function findLateStarts(events: readonly BackendEvent[], limit: number): readonly string[] {
  return events
    .filter((event) => event.event === "request-start")
    .filter((event) => event.at > limit)
    .map((event) => `${event.server} got ${event.path} ${event.at - limit} ms too late`);
}

function findCutRequests(events: readonly BackendEvent[]): readonly string[] {
  return events
    .filter((event) => event.event === "request-end")
    .filter((event) => !event.delivered)
    .map((event) => `${event.server} ended ${event.requestId} without its caller`);
}
