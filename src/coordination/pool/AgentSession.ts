/**
 * The scheduler's long polling of one agent: each call extends the worker's lease, acknowledges
 * ended runs and waits until the report changes. Only these calls and orders tell the agent the
 * scheduler's epoch.
 */
import type { Clock } from "../../protocol/platform/Clock.ts";
import type { Log } from "../../protocol/platform/Log.ts";
import type { AgentChannel, AgentReport, ObserveCall } from "./AgentChannel.ts";

/** Delay after the first failed call, in milliseconds; doubles up to the maximum. */
const INITIAL_RETRY_MS = 100;
const MAX_RETRY_MS = 800;
/** Consecutive failed calls after which the connection is closed, so that a new one is opened. */
const FAILURES_BEFORE_RESET = 1;

/** Dependencies of AgentSession. */
export interface AgentSessionDependencies {
  readonly agent: string;
  readonly channel: AgentChannel;
  readonly clock: Clock;
  readonly log: Log;
  /** Gets the current address of the agent. */
  readonly getAddress: () => string;
  readonly createCall: () => ObserveCall;
  readonly onReport: (report: AgentReport) => void;
  readonly onSuperseded: () => void;
}

/** Polls one agent. */
export class AgentSession {
  private readonly _deps: AgentSessionDependencies;
  private _isStopped = false;
  private _failureCount = 0;
  private _silentSince: number | undefined;

  /**
   * Creates a session; polling begins with `start`.
   * @param deps - Dependencies.
   */
  constructor(deps: AgentSessionDependencies) {
    this._deps = deps;
  }

  /**
   * When the first of the failed calls since the last response was sent, on the monotonic clock, in
   * milliseconds; undefined if the last call was answered or none has ended.
   */
  get silentSince(): number | undefined {
    return this._silentSince;
  }

  /** Starts polling. */
  start(): void {
    void this._poll();
  }

  /** Stops polling; the response to a call in progress is ignored. */
  stop(): void {
    this._isStopped = true;
  }

  private async _poll(): Promise<void> {
    const { channel, clock, createCall, getAddress, onReport, onSuperseded } = this._deps;
    while (!this._isStopped) {
      const sentAt = clock.now();
      const outcome = await channel.observe(getAddress(), createCall());
      if (this._hasEnded()) {
        return;
      }
      if (outcome.kind === "deposed") {
        onSuperseded();
        return;
      }
      if (outcome.kind === "answered") {
        this._handleResponse();
        onReport(outcome.value);
      } else {
        this._silentSince ??= sentAt;
        await this._waitAfterFailure(outcome.detail);
      }
    }
  }

  /** Returns whether the session has been stopped, which can happen during a call. */
  private _hasEnded(): boolean {
    return this._isStopped;
  }

  private _handleResponse(): void {
    if (this._failureCount > 0) {
      this._deps.log.info("Agent responds again.", { agent: this._deps.agent });
    }
    this._failureCount = 0;
    this._silentSince = undefined;
  }

  private async _waitAfterFailure(reason: string): Promise<void> {
    const { agent, channel, clock, log, getAddress } = this._deps;
    if (this._failureCount === 0) {
      log.warn("Agent does not respond; the call is retried.", { agent, reason });
    }
    this._failureCount += 1;
    if (this._failureCount >= FAILURES_BEFORE_RESET) {
      channel.reset(getAddress());
    }
    await clock.sleep(Math.min(INITIAL_RETRY_MS * 2 ** (this._failureCount - 1), MAX_RETRY_MS));
  }
}
