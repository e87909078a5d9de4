/**
 * Creates the body of a request from a JSON value. A large one is sent in chunks, each of which is
 * taken only when the connection has room for it, so that what is sent shows as progress.
 */
import { Readable } from "node:stream";

/** Maximum size of a body that is handed to the connection as a whole, in bytes. */
const MAX_WHOLE_BODY_BYTES = 65_536;
/** Size of the chunks of a larger body, in bytes. */
const CHUNK_BYTES = 16_384;

/** Body of a request with the headers that describe it. */
export interface SentBody {
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string | Readable | null;
}

/**
 * Creates the body of a request. The length of a body that is sent in chunks is in its headers, so
 * that the request is not sent with chunked transfer encoding.
 * @param value - Value to send as JSON; undefined for no body.
 * @param onChunkTaken - Called whenever the connection has taken a chunk of a large body.
 */
export function createSentBody(value: unknown, onChunkTaken: () => void): SentBody {
  const headers = { "content-type": "application/json" };
  if (value === undefined) {
    return { headers, body: null };
  }
  const json = JSON.stringify(value);
  const byteCount = Buffer.byteLength(json);
  if (byteCount <= MAX_WHOLE_BODY_BYTES) {
    return { headers, body: json };
  }
  return {
    headers: { ...headers, "content-length": String(byteCount) },
    body: Readable.from(takeChunks(Buffer.from(json), onChunkTaken)),
  };
}

function* takeChunks(bytes: Buffer, onTaken: () => void): Generator<Buffer, void, undefined> {
  for (let start = 0; start < bytes.length; start += CHUNK_BYTES) {
    onTaken();
    yield bytes.subarray(start, start + CHUNK_BYTES);
  }
}
