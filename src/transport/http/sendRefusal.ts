/**
 * HTTP response for a refusal: status, verdict, code and time after which to retry.
 */
import type { ServerResponse } from "node:http";
import { getHttpStatus, type Refusal } from "../../protocol/Refusal.ts";
import { RequestHeaders } from "../../protocol/RequestHeaders.ts";

/**
 * Sends a refusal. If the head of a response has already been sent, the connection is closed instead,
 * so that the caller does not take the response for complete.
 * @param res - Response of this hop.
 * @param refusal - The refusal.
 * @param headers - Additional headers.
 */
export function sendRefusal(
  res: ServerResponse,
  refusal: Refusal,
  headers: Readonly<Record<string, string>> = {},
): void {
  if (res.headersSent || res.destroyed) {
    res.destroy();
    return;
  }
  const body = Buffer.from(
    `${JSON.stringify({ code: refusal.code, verdict: refusal.verdict, detail: refusal.detail })}\n`,
  );
  const retryAfter =
    refusal.retryAfterSeconds === undefined
      ? {}
      : { "retry-after": String(refusal.retryAfterSeconds) };
  res.writeHead(getHttpStatus(refusal.code), {
    ...headers,
    ...retryAfter,
    "content-type": "application/json",
    "content-length": body.length,
    [RequestHeaders.verdict]: refusal.verdict,
    [RequestHeaders.refusal]: refusal.code,
  });
  res.end(body);
}
