/**
 * The scheduler's standing question to one agent: it extends the worker's lease, acknowledges ends
 * and waits for news, again and again. Only this and orders carry the epoch to the agent.
 */
import type { Clock } from "../../protocol/platform/Clock.ts";
import type { Log } from "../../protocol/platform/Log.ts";
import type { AgentChannel, AgentReport, ObserveCall } from "./AgentChannel.ts";

/** First wait after a call without an answer, in milliseconds; doubles up to the longest. */
const INITIAL_RETRY_MS = 100;
const MAX_RETRY_MS = 800;
/** Calls without an answer after which the connection is made anew. */
const FAILURES_BEFORE_RESET = 1;

/** What a session needs. */
export interface AgentSessionDependencies {
  readonly agent: string;
  readonly channel: AgentChannel;
  readonly clock: Clock;
  readonly log: Log;
  /** Address of the agent as it is known now. */
  readonly getAddress: () => string;
  readonly createCall: () => ObserveCall;
  readonly onReport: (report: AgentReport) => void;
  readonly onSuperseded: () => void;
}

/** Session with one agent. */
export class AgentSession {
  private readonly _deps: AgentSessionDependencies;
  private _isStopped = false;
  private _failureCount = 0;

  /**
   * Creates a session; it does nothing before it is started.
   * @param deps - What it needs.
   */
  constructor(deps: AgentSessionDependencies) {
    this._deps = deps;
  }

  /** Begins to ask. */
  start(): void {
    void this._poll();
  }

  /** Stops asking. */
  stop(): void {
    this._isStopped = true;
  }

  private async _poll(): Promise<void> {
    const { channel, createCall, getAddress, onReport, onSuperseded: onDeposed } = this._deps;
    while (!this._isStopped) {
      const outcome = await channel.observe(getAddress(), createCall());
      if (this._hasEnded()) {
        return;
      }
      if (outcome.kind === "deposed") {
        onDeposed();
        return;
      }
      if (outcome.kind === "answered") {
        this._handleAnswer();
        onReport(outcome.value);
      } else {
        await this._waitAfterFailure(outcome.detail);
      }
    }
  }

  /** The session may be stopped during a call. */
  private _hasEnded(): boolean {
    return this._isStopped;
  }

  private _handleAnswer(): void {
    if (this._failureCount > 0) {
      this._deps.log.info("Agent answers again.", { agent: this._deps.agent });
    }
    this._failureCount = 0;
  }

  private async _waitAfterFailure(reason: string): Promise<void> {
    const { agent, channel, clock, log, getAddress } = this._deps;
    if (this._failureCount === 0) {
      log.warn("Agent does not answer.", { agent, reason });
    }
    this._failureCount += 1;
    if (this._failureCount >= FAILURES_BEFORE_RESET) {
      channel.reset(getAddress());
    }
    await clock.sleep(Math.min(INITIAL_RETRY_MS * 2 ** (this._failureCount - 1), MAX_RETRY_MS));
  }
}
