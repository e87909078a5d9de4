/**
 * Reads the JSON body of a request up to a size limit.
 */
import { isUtf8 } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { err, errAsync, ok, ResultAsync, type Result } from "neverthrow";
import type { RefusalCode } from "../../protocol/Refusal.ts";

/** Reason why a body was rejected. */
export interface BodyProblem {
  readonly code: RefusalCode;
  readonly detail: string;
}

/**
 * Reads and parses a body; an empty body results in undefined.
 * @param req - The request.
 * @param maxBytes - Maximum size of the body in bytes.
 */
export function readJson(
  req: IncomingMessage,
  maxBytes: number,
): ResultAsync<unknown, BodyProblem> {
  if (Number(req.headers["content-length"] ?? 0) > maxBytes) {
    return errAsync(tooLarge(maxBytes));
  }
  const bytes = ResultAsync.fromPromise(readBytes(req, maxBytes), () => ({
    code: "bad-request" as const,
    detail: "the body ended early",
  }));
  return bytes.andThen((read) => (read === undefined ? err(tooLarge(maxBytes)) : parseJson(read)));
}

async function readBytes(req: IncomingMessage, maxBytes: number): Promise<Buffer | undefined> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of req as AsyncIterable<Buffer>) {
    size += chunk.length;
    if (size > maxBytes) {
      return undefined;
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}

function parseJson(bytes: Buffer): Result<unknown, BodyProblem> {
  if (bytes.length === 0) {
    return ok(undefined);
  }
  if (!isUtf8(bytes)) {
    return err({ code: "bad-request", detail: "the body is not UTF-8" });
  }
  try {
    return ok(JSON.parse(bytes.toString("utf8")) as unknown);
  } catch (err_) {
    const reason = err_ instanceof Error ? err_.message : "unreadable";
    return err({ code: "bad-request", detail: `the body is not JSON: ${reason}` });
  }
}

function tooLarge(maxBytes: number): BodyProblem {
  return { code: "body-too-large", detail: `the body exceeds ${maxBytes} bytes` };
}
