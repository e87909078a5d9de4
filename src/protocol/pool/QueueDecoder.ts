/**
 * How the platform writes queues and pools down; each platform is one adapter below this class.
 */
import type { Result } from "neverthrow";
import type { QueueDocument } from "./QueueConfig.ts";

/** Reads queues and pools from what the store holds. */
export abstract class QueueDecoder {
  /** Key under which the store holds them. */
  abstract readonly key: string;

  /**
   * Reads a document.
   * @param text - Value of the key.
   * @returns The document, or what is wrong with the text.
   */
  abstract decode(text: string): Result<QueueDocument, string>;
}
