/**
 * The current queues and pools at one entry. A document whose version is not higher than the
 * current one is ignored, so that no change is reverted.
 */
import type { Log } from "../../protocol/platform/Log.ts";
import type { StoreChange } from "../../protocol/platform/Store.ts";
import { QueueTable, type QueueDocument } from "../../protocol/pool/QueueConfig.ts";
import type { QueueDecoder } from "../../protocol/pool/QueueDecoder.ts";

/**
 * Longest time that the store waits for a configuration before it responds to a watch, in
 * milliseconds. If a response is lost, which is noticed after the timeout of a call of 1 s, a
 * configuration is in effect within the 2 s that operators expect.
 */
export const CONFIG_WATCH_WAIT_MS = 750;

/** Current queues. */
export interface CurrentQueues {
  readonly document: QueueDocument;
  readonly table: QueueTable;
}

/** Holds the newest configuration of queues. */
export class QueueRegistry {
  private readonly _decoder: QueueDecoder;
  private readonly _log: Log;
  private readonly _onChange: (document: QueueDocument) => void;
  private _current: CurrentQueues | undefined;
  private readonly _pools = new Set<string>();

  /**
   * Creates a registry without a document.
   * @param decoder - Decodes documents.
   * @param log - Log for applied and rejected documents.
   * @param onChange - Called with each new document.
   */
  constructor(decoder: QueueDecoder, log: Log, onChange: (document: QueueDocument) => void) {
    this._decoder = decoder;
    this._log = log;
    this._onChange = onChange;
  }

  /** Current queues; undefined before the first document. */
  get current(): CurrentQueues | undefined {
    return this._current;
  }

  /** Names of the pools of all queues in this process's documents, former ones included. */
  get pools(): readonly string[] {
    return [...this._pools];
  }

  /**
   * Applies changed keys of the store.
   * @param changes - Changed keys with their values.
   * @param silentBeforeMs - Time between the response of the store that has them and the one before,
   *   in milliseconds: at most so long had they been there.
   */
  apply(changes: readonly StoreChange[], silentBeforeMs?: number): void {
    changes
      .filter(({ key }) => key === this._decoder.key)
      .forEach(({ value, revision }) => {
        if (value !== undefined) {
          this._applyText(value, revision, silentBeforeMs);
        }
      });
  }

  private _applyText(text: string, revision: number, silentBeforeMs?: number): void {
    this._decoder.decode(text).match(
      (document) => {
        this._set(document, silentBeforeMs);
      },
      (reason) => {
        this._log.error("The configuration of queues cannot be decoded; it is ignored.", {
          revision,
          reason,
        });
      },
    );
  }

  private _set(document: QueueDocument, silentBeforeMs?: number): void {
    const { version } = document;
    const known = this._current?.document.version;
    if (known !== undefined && version <= known) {
      return;
    }
    this._current = { document, table: new QueueTable(document.queues) };
    document.queues.forEach(({ pool }) => this._pools.add(pool));
    this._log.info("A new configuration of queues is in effect.", {
      version,
      queues: document.queues.length,
      ...(silentBeforeMs === undefined ? {} : { silentBeforeMs: Math.round(silentBeforeMs) }),
    });
    this._onChange(document);
  }
}
