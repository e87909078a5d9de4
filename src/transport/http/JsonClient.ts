/**
 * Client for services of the platform with JSON over HTTP. Distinguishes calls that never left this
 * process from those that may have arrived. The timeout of a call bounds how long there may be no
 * progress, not the whole transfer: a large request or response on a narrow link takes as long as it
 * needs.
 */
import { ResultAsync } from "neverthrow";
import { Pool } from "undici";
import { createSentBody } from "./createSentBody.ts";
import { isUnsent } from "./isUnsent.ts";
import { ProgressTimeout } from "./ProgressTimeout.ts";
import { ResponseBody } from "./ResponseBody.ts";

/** An HTTP call with a JSON body. */
export interface JsonCall {
  readonly method: "GET" | "POST" | "DELETE";
  readonly path: string;
  /** Headers in addition to the content type. */
  readonly headers?: Readonly<Record<string, string>>;
  /** Body, sent as JSON; undefined for none. */
  readonly body: unknown;
  /**
   * Longest time without progress, in milliseconds: without a byte of the response, or without a
   * chunk of a large body that the connection takes.
   */
  readonly timeoutMs: number;
}

/** An HTTP response; the body is undefined if it is not JSON. */
export interface JsonResponse {
  readonly status: number;
  readonly body: unknown;
}

/** A call without a response; `mayHaveArrived` is false only if no byte of it was sent. */
export interface JsonFailure {
  readonly kind: "unavailable" | "timeout";
  readonly mayHaveArrived: boolean;
  readonly detail: string;
}

/** Client of one service. */
export class JsonClient {
  private readonly _pool: Pool;

  /**
   * Creates a client that connects on its first call.
   * @param address - Address of the service as "host:port".
   * @param connectTimeoutMs - Timeout of connecting in milliseconds.
   */
  constructor(address: string, connectTimeoutMs: number) {
    this._pool = new Pool(`http://${address}`, {
      connect: { timeout: connectTimeoutMs },
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  /** Closes all connections; calls in progress fail. */
  async close(): Promise<void> {
    await this._pool.destroy();
  }

  /**
   * Makes a call.
   * @param call - The call.
   */
  call(call: JsonCall): ResultAsync<JsonResponse, JsonFailure> {
    const body = new ResponseBody();
    return ResultAsync.fromPromise(this._send(call, body), (cause) =>
      toFailure(cause, body.receivedBytes),
    );
  }

  private async _send(call: JsonCall, received: ResponseBody): Promise<JsonResponse> {
    const timeout = new ProgressTimeout(call.timeoutMs);
    try {
      return await this._receive(call, received, timeout);
    } finally {
      timeout.stop();
    }
  }

  private async _receive(
    call: JsonCall,
    received: ResponseBody,
    timeout: ProgressTimeout,
  ): Promise<JsonResponse> {
    const sent = createSentBody(call.body, () => {
      timeout.restart();
    });
    const { statusCode, body } = await this._pool.request({
      method: call.method,
      path: call.path,
      headers: { ...sent.headers, ...call.headers },
      body: sent.body,
      signal: timeout.signal,
    });
    timeout.restart();
    for await (const chunk of body) {
      timeout.restart();
      received.append(chunk as Uint8Array);
    }
    return { status: statusCode, body: parseJson(received.toText()) };
  }
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}

function toFailure(cause: unknown, receivedBytes: number): JsonFailure {
  const error = cause instanceof Error ? cause : new Error(String(cause));
  const received = receivedBytes > 0 ? ` after ${receivedBytes} bytes of it` : "";
  if (error.name === "TimeoutError") {
    return { kind: "timeout", mayHaveArrived: true, detail: `no response in time${received}` };
  }
  const code = "code" in error ? String(error.code) : "";
  const detail = `${code} ${error.message}${received}`.trim();
  return { kind: "unavailable", mayHaveArrived: !isUnsent(cause), detail };
}
