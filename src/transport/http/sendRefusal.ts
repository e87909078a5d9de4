/**
 * The HTTP answer that carries a refusal: status, verdict, code and when to come back.
 */
import type { ServerResponse } from "node:http";
import { getHttpStatus, type Refusal } from "../../protocol/Refusal.ts";
import { RequestHeaders } from "../../protocol/RequestHeaders.ts";

/**
 * Answers with a refusal. An answer whose head has gone out is cut, so that it never looks whole.
 * @param res - Answer of this hop.
 * @param refusal - The refusal.
 * @param headers - Further headers.
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
