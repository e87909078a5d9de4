/**
 * Bodies that the backend stand-in streams. Each byte is determined by its position, so that a
 * caller can verify all of them.
 */
import { Readable } from "node:stream";

const CHUNK_BYTES = 65_536;
const PATTERN_LENGTH = 251;

const PATTERN = Buffer.from(
  Array.from({ length: CHUNK_BYTES + PATTERN_LENGTH }, (_, index) => index % PATTERN_LENGTH),
);

/**
 * Gets the bytes of a part of the stream.
 * @param offset - Position of the first byte.
 * @param length - Number of bytes, at most one chunk.
 */
export function getPattern(offset: number, length: number): Buffer {
  const start = offset % PATTERN_LENGTH;
  return PATTERN.subarray(start, start + length);
}

/**
 * Creates a stream of the pattern.
 * @param bytes - Length of the stream in bytes.
 */
export function createPatternStream(bytes: number): Readable {
  const offsets = Array.from({ length: Math.ceil(bytes / CHUNK_BYTES) }, (_, index) => {
    return index * CHUNK_BYTES;
  });
  return Readable.from(
    offsets.map((offset) => getPattern(offset, Math.min(CHUNK_BYTES, bytes - offset))),
  );
}
