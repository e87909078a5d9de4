/**
 * JSON over HTTP to the processes of a cluster, for tests and scripts.
 */
import { request } from "undici";

const TIMEOUT_MS = 30_000;

/** Response to a JSON call. */
export interface JsonResult {
  readonly status: number;
  readonly body: unknown;
}

/**
 * Sends a JSON request and returns the response.
 * @param method - HTTP method.
 * @param url - URL to call.
 * @param body - Body, sent as JSON; undefined for none.
 */
export async function callJson(
  method: "GET" | "POST" | "PUT" | "DELETE",
  url: string,
  body?: unknown,
): Promise<JsonResult> {
  const res = await request(url, {
    method,
    headers: { "content-type": "application/json" },
    body: body === undefined ? null : JSON.stringify(body),
    signal: AbortSignal.timeout(TIMEOUT_MS),
  });
  const text = await res.body.text();
  return { status: res.statusCode, body: text === "" ? undefined : (JSON.parse(text) as unknown) };
}
