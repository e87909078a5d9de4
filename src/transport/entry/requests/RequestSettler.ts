/**
 * Asks an agent whether an attempt has run after the exchange with it failed. The query also makes
 * the agent refuse the attempt if it arrives later, so "not-run" stays true.
 */
import { ATTEMPT_RETENTION_MS } from "../../../coordination/requests/AttemptRegistry.ts";
import type { Clock } from "../../../protocol/platform/Clock.ts";
import { parseVerdict, type Verdict } from "../../../protocol/Verdict.ts";
import type { AgentConnections } from "./AgentConnections.ts";

const SETTLE_TIMEOUT_MS = 1_000;

/** An attempt whose outcome is unknown. */
export interface OpenAttempt {
  readonly controlAddress: string;
  /** Incarnation of the agent to which the attempt was sent, which may not be the current one. */
  readonly incarnation: string;
  readonly request: string;
  readonly attempt: number;
  readonly sentAt: number;
  readonly deadline: number;
}

/** Determines the verdicts of attempts whose outcome is unknown. */
export class RequestSettler {
  private readonly _clock: Clock;
  private readonly _connections: AgentConnections;

  /**
   * Creates the settler.
   * @param clock - Monotonic clock.
   * @param connections - Connections to the agents.
   */
  constructor(clock: Clock, connections: AgentConnections) {
    this._clock = clock;
    this._connections = connections;
  }

  /**
   * Gets the verdict of an attempt; "may-have-run" unless the agent confirms another one.
   * @param attempt - Attempt whose outcome is unknown.
   */
  async settle(attempt: OpenAttempt): Promise<Verdict> {
    const leftMs = attempt.deadline - this._clock.now();
    if (leftMs <= 0) {
      return "may-have-run";
    }
    try {
      const reply = await this._connections
        .getControlClient(attempt.controlAddress)
        .settleRequest(
          { request: attempt.request, attempt: attempt.attempt, incarnation: attempt.incarnation },
          { timeoutMs: Math.min(leftMs, SETTLE_TIMEOUT_MS) },
        );
      const isExpired = this._clock.now() - attempt.sentAt >= ATTEMPT_RETENTION_MS;
      return isExpired ? "may-have-run" : (parseVerdict(reply.verdict) ?? "may-have-run");
    } catch {
      return "may-have-run";
    }
  }
}
