/**
 * Registers a process of an agent in the store, where schedulers find its address. The revision of the
 * registration is where the process's fencing tokens begin, so that it can be renewed. The process that
 * has registered last is the agent's; one that finds another registration in place of its own has been
 * replaced.
 */
import type { Clock } from "../../protocol/platform/Clock.ts";
import type { Log } from "../../protocol/platform/Log.ts";
import type { Store } from "../../protocol/platform/Store.ts";
import { getAgentKey } from "../../state/pool/PoolKeys.ts";
import type { AgentRecord } from "../../state/pool/records.ts";

/** Delay before a registration is retried, in milliseconds. */
const RETRY_MS = 200;
/**
 * Delay before a registration is renewed, in milliseconds. A worker may have seen a token that no
 * registration exceeds.
 */
const RENEWAL_DELAY_MS = 500;

/** Dependencies of AgentRegistration. */
export interface AgentRegistrationDependencies {
  readonly store: Store;
  readonly clock: Clock;
  readonly log: Log;
  /** Name of the agent. */
  readonly name: string;
  /** The registration, which names the process. */
  readonly record: AgentRecord;
  /** Called when another process has registered since. */
  readonly onReplaced: () => void;
}

/** Registration of one process of an agent. */
export class AgentRegistration {
  private readonly _deps: AgentRegistrationDependencies;
  /** Revision of the present registration; 0 for none. */
  private _revision = 0;
  private _isStopped = false;

  /**
   * Creates a registration that is not in the store yet.
   * @param deps - Dependencies.
   */
  constructor(deps: AgentRegistrationDependencies) {
    this._deps = deps;
  }

  /** Gives up what has not been written. */
  stop(): void {
    this._isStopped = true;
  }

  /**
   * Replaces the registration of an earlier process, or that of this one by a later one; retries until
   * the store holds it, or the registration of another process that has replaced this one.
   * @returns Its revision; undefined if the process was stopped or replaced before.
   */
  async renew(): Promise<number | undefined> {
    const { store, clock, log, name, record } = this._deps;
    const key = getAgentKey(name);
    const value = JSON.stringify(record);
    if (this._revision > 0) {
      await clock.sleep(RENEWAL_DELAY_MS);
    }
    while (!this._isStopped) {
      const read = await store.read(key);
      const present = read.isOk() ? read.value : undefined;
      if (present?.value === value && present.revision > this._revision) {
        this._revision = present.revision;
        log.info("The agent is registered in the store.", { key, revision: this._revision });
        return this._revision;
      }
      if (present !== undefined && present.value !== value && this._revision > 0) {
        this._handleReplacement(key, present.revision);
        return undefined;
      }
      const expected = present?.revision ?? 0;
      const isWritten = read.isOk() && (await store.write({ key, value, expected })).isOk();
      if (!isWritten) {
        log.warn("The agent could not be registered in the store; the registration is retried.", {
          key,
        });
        await clock.sleep(RETRY_MS);
      }
    }
    return undefined;
  }

  private _handleReplacement(key: string, revision: number): void {
    if (this._isStopped) {
      return;
    }
    this._isStopped = true;
    this._deps.log.error(
      "Another process of the agent has registered; this one calls its worker no more. End it.",
      { key, revision, ownRevision: this._revision },
    );
    this._deps.onReplaced();
  }
}
