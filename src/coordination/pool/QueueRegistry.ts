/**
 * The queues and pools in force at one entry. A document of a lower version than one seen is left
 * alone, so that nothing reverts.
 */
import type { Log } from "../../protocol/platform/Log.ts";
import type { StoreChange } from "../../protocol/platform/Store.ts";
import { QueueTable, type QueueDocument } from "../../protocol/pool/QueueConfig.ts";
import type { QueueDecoder } from "../../protocol/pool/QueueDecoder.ts";

/** Queues in force. */
export interface CurrentQueues {
  readonly document: QueueDocument;
  readonly table: QueueTable;
}

/** Keeps the newest document. */
export class QueueRegistry {
  private readonly _decoder: QueueDecoder;
  private readonly _log: Log;
  private readonly _onChange: (document: QueueDocument) => void;
  private _current: CurrentQueues | undefined;

  /**
   * Creates a keeper without a document.
   * @param decoder - Reads documents.
   * @param log - Log of the part.
   * @param onChange - Called with each new document.
   */
  constructor(decoder: QueueDecoder, log: Log, onChange: (document: QueueDocument) => void) {
    this._decoder = decoder;
    this._log = log;
    this._onChange = onChange;
  }

  /** Queues in force; undefined before the first document. */
  get current(): CurrentQueues | undefined {
    return this._current;
  }

  /**
   * Takes in keys of the store.
   * @param changes - Keys with their values.
   */
  apply(changes: readonly StoreChange[]): void {
    changes
      .filter(({ key }) => key === this._decoder.key)
      .forEach(({ value, revision }) => {
        if (value !== undefined) {
          this._applyText(value, revision);
        }
      });
  }

  private _applyText(text: string, revision: number): void {
    this._decoder.decode(text).match(
      (document) => {
        this._set(document);
      },
      (reason) => {
        this._log.error("The configuration of queues cannot be read.", { revision, reason });
      },
    );
  }

  private _set(document: QueueDocument): void {
    const { version } = document;
    const known = this._current?.document.version;
    if (known !== undefined && version <= known) {
      return;
    }
    this._current = { document, table: new QueueTable(document.queues) };
    this._log.info("Configuration of queues is in force.", {
      version,
      queues: document.queues.length,
    });
    this._onChange(document);
  }
}
