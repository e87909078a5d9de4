/**
 * Decoder for the platform's representation of queues and pools; each platform has an adapter that
 * extends this class.
 */
import type { Result } from "neverthrow";
import type { QueueDocument } from "./QueueConfig.ts";

/** Decodes queues and pools from their value in the store. */
export abstract class QueueDecoder {
  /** Key under which the store holds them. */
  abstract readonly key: string;

  /**
   * Decodes a document.
   * @param text - Value of the key.
   * @returns The document, or what is wrong with the text.
   */
  abstract decode(text: string): Result<QueueDocument, string>;
}
