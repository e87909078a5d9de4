/**
 * Asks an agent whether an attempt has run after the exchange with it broke off. The asking itself
 * blocks a late arrival of the attempt, so "not-run" stays true.
 */
import { ATTEMPT_RETENTION_MS } from "../../../coordination/requests/AttemptRegistry.ts";
import type { Clock } from "../../../protocol/platform/Clock.ts";
import { parseVerdict, type Verdict } from "../../../protocol/Verdict.ts";
import type { AgentConnections } from "./AgentConnections.ts";

/** Longest wait for the agent's word, in milliseconds. */
const SETTLE_TIMEOUT_MS = 1_000;

/** An attempt whose outcome is open. */
export interface OpenAttempt {
  readonly controlAddress: string;
  /** Incarnation of the agent to which the attempt was sent, not the one known now. */
  readonly incarnation: string;
  readonly request: string;
  readonly attempt: number;
  readonly sentAt: number;
  readonly deadline: number;
}

/** Settles attempts of one entry. */
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
   * Settles an attempt; without the agent's word it may have run.
   * @param attempt - The attempt.
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
