/**
 * Keeps an entry's configuration up to date: lists the key, then watches it. Where the store
 * cannot be reached, a process without a configuration takes the largest revision among its peers;
 * a process that hears of a later revision than its own fetches it from peers or from the store.
 */
import type { ActiveConfig } from "../../coordination/config/ActiveConfig.ts";
import type { ConfigSnapshot } from "../../protocol/config/ConfigDocument.ts";
import {
  CONFIG_KEY,
  INITIAL_CONFIG,
  parseStoredConfig,
} from "../../protocol/config/StoredConfig.ts";
import type { Clock } from "../../protocol/platform/Clock.ts";
import type { Log } from "../../protocol/platform/Log.ts";
import type { RandomSource } from "../../protocol/platform/RandomSource.ts";
import type { Store } from "../../protocol/platform/Store.ts";
import { callStore } from "./callStore.ts";

const READ_TIMEOUT_MS = 1000;
const WATCH_TIMEOUT_MS = 15_000;
const BACKOFF_MIN_MS = 100;
const BACKOFF_MAX_MS = 2000;

/** What a watcher works with. */
export interface ConfigWatcherParts {
  readonly store: Store;
  readonly keeper: ActiveConfig;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Log;
  /** Gives the configurations that reachable peers and agents hold. */
  readonly getPeerSnapshots: () => Promise<readonly ConfigSnapshot[]>;
}

/** Keeps an entry's configuration up to date. */
export class ConfigWatcher {
  private readonly _parts: ConfigWatcherParts;
  private readonly _log: Log;
  private _stopped = false;
  private _wantedRevision = 0;
  private _isCatchingUp = false;
  private _failures = 0;

  /**
   * Creates a watcher.
   * @param parts - What it works with.
   */
  constructor(parts: ConfigWatcherParts) {
    this._parts = parts;
    this._log = parts.log.part("config");
  }

  /** Starts watching. */
  start(): void {
    void this._run();
  }

  /** Stops watching; a call under way is left to end. */
  stop(): void {
    this._stopped = true;
  }

  /**
   * Notes that another process holds a revision, so that it is fetched where it is later than the
   * one in force here.
   * @param revision - The revision.
   */
  noteRevision(revision: number): void {
    this._wantedRevision = Math.max(this._wantedRevision, revision);
    if (!this._isCatchingUp && this._isBehind()) {
      this._isCatchingUp = true;
      void this._catchUp();
    }
  }

  private async _run(): Promise<void> {
    while (!this._stopped) {
      const after = await this._list();
      if (after !== undefined) {
        await this._follow(after);
      }
      if (!this._parts.keeper.getSnapshot()) {
        await this._askPeers();
      }
      await this._backOff(this._failures);
    }
  }

  /** Reads the key; gives the store revision from which to watch. */
  private async _list(): Promise<number | undefined> {
    const { store, clock } = this._parts;
    const result = await callStore(store.list(CONFIG_KEY), clock, READ_TIMEOUT_MS);
    if (result.isErr()) {
      this._noteFailure(result.error.detail);
      return undefined;
    }
    const found = result.value.entries.find((entry) => entry.key === CONFIG_KEY);
    if (found === undefined) {
      this._offerInitial();
    } else {
      this._offerValue(found.value);
    }
    this._noteSuccess();
    return result.value.revision;
  }

  /** Watches until a watch fails. */
  private async _follow(from: number): Promise<void> {
    const { store, clock } = this._parts;
    let after = from;
    while (!this._stopped) {
      const result = await callStore(store.watch(CONFIG_KEY, after), clock, WATCH_TIMEOUT_MS);
      if (result.isErr()) {
        this._noteFailure(result.error.detail);
        return;
      }
      result.value.changes.forEach((change) => {
        if (change.key === CONFIG_KEY && change.value !== undefined) {
          this._offerValue(change.value);
        }
      });
      after = Math.max(after, result.value.revision);
    }
  }

  private async _catchUp(): Promise<void> {
    for (let round = 0; !this._stopped && this._isBehind(); round += 1) {
      await this._askPeers();
      if (this._isBehind()) {
        await this._readStore();
      }
      if (this._isBehind()) {
        await this._backOff(round);
      }
    }
    this._isCatchingUp = false;
  }

  private _isBehind(): boolean {
    return (this._parts.keeper.getRevision() ?? -1) < this._wantedRevision;
  }

  private async _readStore(): Promise<void> {
    const { store, clock } = this._parts;
    const result = await callStore(store.read(CONFIG_KEY), clock, READ_TIMEOUT_MS);
    if (result.isOk() && result.value !== undefined) {
      this._offerValue(result.value.value);
    }
  }

  private async _askPeers(): Promise<void> {
    try {
      const snapshots = await this._parts.getPeerSnapshots();
      snapshots
        .toSorted((a, b) => b.revision - a.revision)
        .slice(0, 1)
        .forEach((snapshot) => {
          this._offer(snapshot, "a peer");
        });
    } catch (error) {
      const reason = error instanceof Error ? error.message : "unknown";
      this._log.warn("Cannot ask peers for the configuration.", { reason });
    }
  }

  /** A key that is absent is the start of a deployment only where nothing is in force yet. */
  private _offerInitial(): void {
    const held = this._parts.keeper.getRevision() ?? 0;
    if (held > INITIAL_CONFIG.revision) {
      this._log.error("The store has lost the configuration; the one in force stays.", { held });
      return;
    }
    this._offer(INITIAL_CONFIG, "the store, which has none");
  }

  private _offerValue(value: string): void {
    parseStoredConfig(value).match(
      (stored) => {
        this._offer(stored, "the store");
      },
      (problem) => {
        this._log.error("The stored configuration is damaged.", { problem });
      },
    );
  }

  private _offer(snapshot: ConfigSnapshot, source: string): void {
    if (this._parts.keeper.applyIfNewer(snapshot)) {
      const { revision } = snapshot;
      this._log.info("Configuration in force.", { revision, source });
    }
  }

  private _noteFailure(reason: string): void {
    if (this._failures === 0) {
      this._log.warn("Cannot follow the configuration in the store.", { reason });
    }
    this._failures += 1;
  }

  private _noteSuccess(): void {
    if (this._failures > 0) {
      this._log.info("Following the configuration in the store again.");
    }
    this._failures = 0;
  }

  private async _backOff(round: number): Promise<void> {
    const { clock, random } = this._parts;
    const ceiling = Math.min(BACKOFF_MAX_MS, BACKOFF_MIN_MS * 2 ** Math.min(round, 10));
    await clock.sleep((ceiling * (1 + random.next())) / 2);
  }
}
