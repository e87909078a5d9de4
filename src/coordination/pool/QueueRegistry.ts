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
  private readonly _getSilentBeforeMs: () => number | undefined;
  private _current: CurrentQueues | undefined;
  private readonly _pools = new Set<string>();

  /**
   * Creates a registry without a document.
   * @param decoder - Decodes documents.
   * @param log - Log for applied and rejected documents.
   * @param onChange - Called with each new document.
   * @param getSilentBeforeMs - Returns for how long the store had been silent before the response that
   *   is being applied, in milliseconds, for the log; undefined if that is not known.
   */
  constructor(
    decoder: QueueDecoder,
    log: Log,
    onChange: (document: QueueDocument) => void,
    getSilentBeforeMs: () => number | undefined = () => undefined,
  ) {
    this._decoder = decoder;
    this._log = log;
    this._onChange = onChange;
    this._getSilentBeforeMs = getSilentBeforeMs;
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
        this._log.error("The configuration of queues cannot be decoded; it is ignored.", {
          revision,
          reason,
        });
      },
    );
  }

  private _set(document: QueueDocument): void {
    const { version } = document;
    const known = this._current?.document.version;
    if (known !== undefined && version <= known) {
      return;
    }
    const silentBeforeMs = this._getSilentBeforeMs();
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
