/**
 * Keeps an entry's configuration up to date: lists the key, then watches it. If the store is
 * unreachable, a process without a configuration applies the highest revision among its peers.
 * When another process reports a later revision, it is fetched from peers or from the store.
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
const MIN_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 2000;

/** Dependencies of `ConfigWatcher`. */
export interface ConfigWatcherDependencies {
  readonly store: Store;
  readonly activeConfig: ActiveConfig;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Log;
  /** Fetches the configurations of reachable peers and agents. */
  readonly fetchPeerSnapshots: () => Promise<readonly ConfigSnapshot[]>;
}

/** Keeps an entry's configuration up to date. */
export class ConfigWatcher {
  private readonly _deps: ConfigWatcherDependencies;
  private readonly _log: Log;
  private _isStopped = false;
  private _latestKnownRevision = 0;
  private _isCatchingUp = false;
  private _failures = 0;

  /**
   * Creates a watcher.
   * @param deps - Dependencies of the watcher.
   */
  constructor(deps: ConfigWatcherDependencies) {
    this._deps = deps;
    this._log = deps.log.child("config");
  }

  /** Starts watching. */
  start(): void {
    void this._run();
  }

  /** Stops watching; a call in progress is not cancelled. */
  stop(): void {
    this._isStopped = true;
  }

  /**
   * Handles the report that another process has a revision: fetches it if it is later than the one
   * in force here.
   * @param revision - Revision of the other process.
   */
  handleRevision(revision: number): void {
    this._latestKnownRevision = Math.max(this._latestKnownRevision, revision);
    if (!this._isCatchingUp && this._isBehind()) {
      this._isCatchingUp = true;
      void this._catchUp();
    }
  }

  private async _run(): Promise<void> {
    while (!this._isStopped) {
      const after = await this._list();
      if (after !== undefined) {
        await this._watch(after);
      }
      if (!this._deps.activeConfig.getSnapshot()) {
        await this._fetchFromPeers();
      }
      await this._backOff(this._failures);
    }
  }

  /** Reads the key and returns the store revision from which to watch; undefined on failure. */
  private async _list(): Promise<number | undefined> {
    const { store, clock } = this._deps;
    const result = await callStore(store.list(CONFIG_KEY), clock, READ_TIMEOUT_MS);
    if (result.isErr()) {
      this._recordFailure(result.error.detail);
      return undefined;
    }
    const found = result.value.entries.find((entry) => entry.key === CONFIG_KEY);
    if (found === undefined) {
      this._applyInitial();
    } else {
      this._applyValue(found.value);
    }
    this._recordSuccess();
    return result.value.revision;
  }

  /** Watches the key until a watch fails. */
  private async _watch(from: number): Promise<void> {
    const { store, clock } = this._deps;
    let after = from;
    while (!this._isStopped) {
      const result = await callStore(store.watch(CONFIG_KEY, after), clock, WATCH_TIMEOUT_MS);
      if (result.isErr()) {
        this._recordFailure(result.error.detail);
        return;
      }
      result.value.changes.forEach((change) => {
        if (change.key === CONFIG_KEY && change.value !== undefined) {
          this._applyValue(change.value);
        }
      });
      after = Math.max(after, result.value.revision);
    }
  }

  private async _catchUp(): Promise<void> {
    for (let attempt = 0; !this._isStopped && this._isBehind(); attempt += 1) {
      await this._fetchFromPeers();
      if (this._isBehind()) {
        await this._fetchFromStore();
      }
      if (this._isBehind()) {
        await this._backOff(attempt);
      }
    }
    this._isCatchingUp = false;
  }

  private _isBehind(): boolean {
    return (this._deps.activeConfig.getRevision() ?? -1) < this._latestKnownRevision;
  }

  private async _fetchFromStore(): Promise<void> {
    const { store, clock } = this._deps;
    const result = await callStore(store.read(CONFIG_KEY), clock, READ_TIMEOUT_MS);
    if (result.isOk() && result.value !== undefined) {
      this._applyValue(result.value.value);
    }
  }

  private async _fetchFromPeers(): Promise<void> {
    try {
      const snapshots = await this._deps.fetchPeerSnapshots();
      snapshots
        .toSorted((a, b) => b.revision - a.revision)
        .slice(0, 1)
        .forEach((snapshot) => {
          this._apply(snapshot, "a peer");
        });
    } catch (error) {
      const reason = error instanceof Error ? error.message : "unknown";
      this._log.warn("Failed to fetch the configuration from peers.", { reason });
    }
  }

  /** Applies the initial configuration; an absent key means a new deployment only if none is in force. */
  private _applyInitial(): void {
    const held = this._deps.activeConfig.getRevision() ?? 0;
    if (held > INITIAL_CONFIG.revision) {
      this._log.error("The store has lost the configuration; the active one stays in force.", {
        held,
      });
      return;
    }
    this._apply(INITIAL_CONFIG, "initial configuration, as the store has none");
  }

  private _applyValue(value: string): void {
    parseStoredConfig(value).match(
      (stored) => {
        this._apply(stored, "the store");
      },
      (problem) => {
        this._log.error("The stored configuration cannot be parsed and is ignored.", { problem });
      },
    );
  }

  private _apply(snapshot: ConfigSnapshot, source: string): void {
    if (this._deps.activeConfig.applyIfNewer(snapshot)) {
      const { revision } = snapshot;
      this._log.info("Configuration in force.", { revision, source });
    }
  }

  private _recordFailure(reason: string): void {
    if (this._failures === 0) {
      this._log.warn("Cannot watch the configuration in the store; the watch is retried.", {
        reason,
      });
    }
    this._failures += 1;
  }

  private _recordSuccess(): void {
    if (this._failures > 0) {
      this._log.info("Watching the configuration in the store again.");
    }
    this._failures = 0;
  }

  private async _backOff(attempt: number): Promise<void> {
    const { clock, random } = this._deps;
    const maxDelayMs = Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** Math.min(attempt, 10));
    await clock.sleep((maxDelayMs * (1 + random.next())) / 2);
  }
}
