/**
 * Bodies of requests on their way through a hop: small ones are collected, so that an attempt that
 * has not run can be repeated; large ones are streamed.
 */
import type { IncomingMessage } from "node:http";
import { Transform, type Readable, type TransformCallback } from "node:stream";

/** Largest body that is collected, in bytes. */
const MAX_COLLECTED_BYTES = 65_536;

/** A body that is ready to be sent; a streamed one can be sent only once. */
export type RequestBody =
  | { readonly kind: "none" }
  | { readonly kind: "collected"; readonly bytes: Buffer }
  | { readonly kind: "streamed"; readonly stream: Readable };

/** Why a body cannot be taken. */
export type BodyProblem = "body-too-large" | "bad-request";

/** Ends a streamed body that exceeds its limit. */
export class BodyLimitError extends Error {}

/** Ends a streamed body that the caller broke off or mangled. */
export class IncompleteBodyError extends Error {}

/** Passes a body through up to a limit. */
class BodyLimitTransform extends Transform {
  private _left: number;

  constructor(limitBytes: number) {
    super();
    this._left = limitBytes;
  }

  override _transform(chunk: Buffer, _encoding: string, callback: TransformCallback): void {
    this._left -= chunk.length;
    if (this._left < 0) {
      callback(new BodyLimitError("the body is larger than allowed"));
      return;
    }
    callback(null, chunk);
  }
}

/**
 * Takes the body of a request.
 * @param req - The request.
 * @param limitBytes - Largest body allowed, in bytes.
 */
export async function receiveBody(
  req: IncomingMessage,
  limitBytes: number,
): Promise<RequestBody | BodyProblem> {
  const declared = req.headers["content-length"];
  if (declared === undefined) {
    return req.headers["transfer-encoding"] === undefined
      ? { kind: "none" }
      : { kind: "streamed", stream: limitBody(req, limitBytes) };
  }
  const length = Number(declared);
  if (length > limitBytes) {
    return "body-too-large";
  }
  if (length === 0) {
    return { kind: "none" };
  }
  return length <= MAX_COLLECTED_BYTES
    ? collect(req)
    : { kind: "streamed", stream: limitBody(req, limitBytes) };
}

function limitBody(req: IncomingMessage, limitBytes: number): Readable {
  const limited = new BodyLimitTransform(limitBytes);
  // A body that no attempt sends has no other listener, and an error without one ends the process.
  limited.on("error", () => undefined);
  const onAbort = (): void => {
    if (!req.complete) {
      limited.destroy(new IncompleteBodyError("the caller broke off its body"));
    }
  };
  req.on("error", onAbort);
  req.on("close", onAbort);
  return req.pipe(limited);
}

async function collect(req: IncomingMessage): Promise<RequestBody | BodyProblem> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    req.on("data", (chunk: Buffer) => chunks.push(chunk));
    req.on("end", () => {
      resolve({ kind: "collected", bytes: Buffer.concat(chunks) });
    });
    req.on("error", () => {
      resolve("bad-request");
    });
    req.on("close", () => {
      resolve("bad-request");
    });
  });
}

/**
 * Gives a body in the form that undici sends.
 * @param body - The body.
 */
export function getDispatchBody(body: RequestBody): Buffer | Readable | null {
  if (body.kind === "none") {
    return null;
  }
  return body.kind === "collected" ? body.bytes : body.stream;
}
