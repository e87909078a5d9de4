/**
 * Headers that pass through a hop: everything but the hop-by-hop headers and those that a hop drops.
 */
import type { IncomingHttpHeaders, OutgoingHttpHeaders } from "node:http";

/** Headers that belong to one connection and never pass a hop. */
const HOP_BY_HOP: ReadonlySet<string> = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "expect",
]);

/**
 * Gives the headers of a request that pass on, as a flat list of names and values.
 * @param rawHeaders - Headers as received, as a flat list.
 * @param dropped - Lower-case names that this hop drops.
 */
export function getForwardHeaders(
  rawHeaders: readonly string[],
  dropped: ReadonlySet<string>,
): string[] {
  return rawHeaders.flatMap((name, index) => {
    if (index % 2 === 1 || !isForwarded(name.toLowerCase(), dropped)) {
      return [];
    }
    return [name, rawHeaders[index + 1] ?? ""];
  });
}

/**
 * Gives the headers of an answer that pass on.
 * @param headers - Headers as received.
 * @param dropped - Lower-case names that this hop drops.
 */
export function getResponseHeaders(
  headers: IncomingHttpHeaders,
  dropped: ReadonlySet<string>,
): OutgoingHttpHeaders {
  const forwarded: OutgoingHttpHeaders = {};
  Object.entries(headers).forEach(([name, value]) => {
    if (value !== undefined && isForwarded(name, dropped)) {
      forwarded[name] = value;
    }
  });
  return forwarded;
}

function isForwarded(name: string, dropped: ReadonlySet<string>): boolean {
  return !HOP_BY_HOP.has(name) && !dropped.has(name);
}
