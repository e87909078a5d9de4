/**
 * Selects the headers that a hop forwards: all except hop-by-hop headers and those that it drops.
 */
import type { IncomingHttpHeaders, OutgoingHttpHeaders } from "node:http";

/** Headers that apply to a single connection and are never forwarded. */
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
 * Gets the forwarded headers of a request as a flat list of names and values.
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
 * Gets the forwarded headers of a response.
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
