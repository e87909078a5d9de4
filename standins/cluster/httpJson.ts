/**
 * JSON calls of tests and scripts to the processes of a cluster.
 */
import { request } from "undici";

const TIMEOUT_MS = 30_000;

/** Answer to a JSON call. */
export interface JsonResult {
  readonly status: number;
  readonly body: unknown;
}

/**
 * Makes a JSON call.
 * @param method - HTTP method.
 * @param url - URL.
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
