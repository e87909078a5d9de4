/**
 * Sends one HTTP request with a JSON body over a channel of its own.
 */
import { request } from "node:http";

/** An answer; status 0 if there was none. */
export interface Answer {
  readonly status: number;
  readonly body: Readonly<Record<string, unknown>>;
}

/** Time for which an answer is waited for, in milliseconds. */
const TIMEOUT_MS = 3_000;

/**
 * Sends a request.
 * @param method - Method.
 * @param address - Address as "host:port".
 * @param path - Path, sent as it is.
 * @param body - Body, sent as JSON; undefined for none.
 * @param headers - Further headers.
 */
export async function sendJson(
  method: string,
  address: string,
  path: string,
  body?: unknown,
  headers: Readonly<Record<string, string>> = {},
): Promise<Answer> {
  const [host, port] = address.split(":");
  const text = body === undefined ? "" : JSON.stringify(body);
  return new Promise((resolve) => {
    const fail = (): void => {
      resolve({ status: 0, body: {} });
    };
    const req = request(
      { host, port, method, path, headers: { "content-type": "application/json", ...headers } },
      (res) => {
        res.toArray().then((chunks: Buffer[]) => {
          const status = res.statusCode ?? 0;
          resolve({ status, body: parse(Buffer.concat(chunks).toString()) });
        }, fail);
      },
    );
    req.setTimeout(TIMEOUT_MS, () => req.destroy());
    req.on("error", fail);
    req.end(text);
  });
}

function parse(text: string): Answer["body"] {
  try {
    return JSON.parse(text) as Answer["body"];
  } catch {
    return {};
  }
}
