/**
 * The scheduler's standing question to one agent: it extends the worker's lease, acknowledges ends
 * and waits for news, again and again. Only this and orders carry the epoch to the agent.
 */
import type { Clock } from "../../protocol/platform/Clock.ts";
import type { Log } from "../../protocol/platform/Log.ts";
import type { AgentChannel, AgentReport, ObserveCall } from "./AgentChannel.ts";

/** First wait after a call without an answer, in milliseconds; doubles up to the longest. */
const FIRST_RETRY_MS = 100;
const LONGEST_RETRY_MS = 800;
/** Calls without an answer after which the connection is made anew. */
const RESET_AFTER = 1;

/** What a session needs. */
export interface AgentSessionParts {
  readonly agent: string;
  readonly channel: AgentChannel;
  readonly clock: Clock;
  readonly log: Log;
  /** Address of the agent as it is known now. */
  readonly getAddress: () => string;
  readonly createCall: () => ObserveCall;
  readonly onReport: (report: AgentReport) => void;
  readonly onDeposed: () => void;
}

/** Session with one agent. */
export class AgentSession {
  private readonly _parts: AgentSessionParts;
  private _isStopped = false;
  private _silent = 0;

  /**
   * Creates a session; it does nothing before it is started.
   * @param parts - What it needs.
   */
  constructor(parts: AgentSessionParts) {
    this._parts = parts;
  }

  /** Begins to ask. */
  start(): void {
    void this._run();
  }

  /** Stops asking. */
  stop(): void {
    this._isStopped = true;
  }

  private async _run(): Promise<void> {
    const { channel, createCall, getAddress, onReport, onDeposed } = this._parts;
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
        this._noteAnswer();
        onReport(outcome.value);
      } else {
        await this._waitAfterSilence(outcome.detail);
      }
    }
  }

  /** The session may be stopped during a call. */
  private _hasEnded(): boolean {
    return this._isStopped;
  }

  private _noteAnswer(): void {
    if (this._silent > 0) {
      this._parts.log.info("Agent answers again.", { agent: this._parts.agent });
    }
    this._silent = 0;
  }

  private async _waitAfterSilence(reason: string): Promise<void> {
    const { agent, channel, clock, log, getAddress } = this._parts;
    if (this._silent === 0) {
      log.warn("Agent does not answer.", { agent, reason });
    }
    this._silent += 1;
    if (this._silent >= RESET_AFTER) {
      channel.reset(getAddress());
    }
    await clock.sleep(Math.min(FIRST_RETRY_MS * 2 ** (this._silent - 1), LONGEST_RETRY_MS));
  }
}
