/**
 * Request bodies that a hop forwards: small ones are collected in memory, so that an attempt that has
 * not run can be retried; large ones are streamed.
 */
import type { IncomingMessage } from "node:http";
import { Transform, type Readable, type TransformCallback } from "node:stream";

/** Maximum size of a body that is collected in memory. */
const MAX_COLLECTED_BYTES = 65_536;

/** A body that is ready to be sent; a streamed one can be sent only once. */
export type RequestBody =
  | { readonly kind: "none" }
  | { readonly kind: "collected"; readonly bytes: Buffer }
  | { readonly kind: "streamed"; readonly stream: Readable };

/** Reason why a body is rejected. */
export type BodyProblem = "body-too-large" | "bad-request";

/** Error of a streamed body that exceeds its size limit. */
export class BodyLimitError extends Error {}

/** Error of a streamed body whose connection closed or failed before its end. */
export class IncompleteBodyError extends Error {}

/** Passes a body through up to a size limit. */
class BodyLimitTransform extends Transform {
  private _left: number;

  constructor(limitBytes: number) {
    super();
    this._left = limitBytes;
  }

  override _transform(chunk: Buffer, _encoding: string, callback: TransformCallback): void {
    this._left -= chunk.length;
    if (this._left < 0) {
      callback(new BodyLimitError("the body exceeds its size limit"));
      return;
    }
    callback(null, chunk);
  }
}

/**
 * Receives the body of a request.
 * @param req - The request.
 * @param limitBytes - Maximum size of the body in bytes.
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
  // A body that no attempt sends has no other error listener; an unhandled error ends the process.
  limited.on("error", () => undefined);
  const onAbort = (): void => {
    if (!req.complete) {
      limited.destroy(
        new IncompleteBodyError("the caller closed the connection before the end of the body"),
      );
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
 * Converts a body to the type that undici sends.
 * @param body - The body.
 */
export function getDispatchBody(body: RequestBody): Buffer | Readable | null {
  if (body.kind === "none") {
    return null;
  }
  return body.kind === "collected" ? body.bytes : body.stream;
}
