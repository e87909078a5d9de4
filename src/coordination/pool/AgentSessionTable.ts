/**
 * The agents that the scheduler of a pool polls: one session for each agent whose worker belongs to
 * the pool.
 */
import type { Clock } from "../../protocol/platform/Clock.ts";
import type { Log } from "../../protocol/platform/Log.ts";
import type { AgentRecord } from "../../state/pool/records.ts";
import type { AgentChannel, AgentReport, ObserveCall } from "./AgentChannel.ts";
import { AgentSession } from "./AgentSession.ts";
import type { WorkerTable } from "./WorkerTable.ts";

/** Dependencies of AgentSessionTable. */
export interface AgentSessionTableDependencies {
  readonly pool: string;
  readonly workerTable: WorkerTable;
  readonly channel: AgentChannel;
  readonly clock: Clock;
  readonly log: Log;
  readonly createCall: (agent: string) => ObserveCall;
  readonly onReport: (agent: string, report: AgentReport) => void;
  readonly onSuperseded: () => void;
}

/** Sessions of one scheduler, by name of the agent. */
export class AgentSessionTable {
  private readonly _deps: AgentSessionTableDependencies;
  private readonly _sessions = new Map<string, AgentSession>();
  private _isStopped = false;

  /**
   * Creates a table without sessions.
   * @param deps - Dependencies.
   */
  constructor(deps: AgentSessionTableDependencies) {
    this._deps = deps;
  }

  /**
   * Since when no agent has responded, on the monotonic clock, in milliseconds; undefined if one
   * responds, may still respond to its first call, or there is none.
   */
  get silentSince(): number | undefined {
    const times = [...this._sessions.values()].map((session) => session.silentSince);
    const known = times.filter((time) => time !== undefined);
    return known.length === 0 || known.length < times.length ? undefined : Math.max(...known);
  }

  /**
   * Gets since when an agent has not responded, on the monotonic clock, in milliseconds; undefined if
   * it responds, may still respond to its first call, or is not polled.
   * @param agent - Name of the agent.
   */
  getSilentSince(agent: string): number | undefined {
    return this._sessions.get(agent)?.silentSince;
  }

  /**
   * Updates the registration of an agent. An agent whose worker belongs to the pool is polled; one
   * whose worker belongs to another pool now is not any more.
   * @param name - Name of the agent.
   * @param record - The registration.
   */
  setAgent(name: string, record: AgentRecord): void {
    const { pool, workerTable, channel } = this._deps;
    if (record.pool !== pool) {
      this._sessions.get(name)?.stop();
      this._sessions.delete(name);
      return;
    }
    const known = workerTable.getAgent(name)?.record;
    workerTable.setAgent(name, record);
    if (known !== undefined && known.process !== record.process) {
      channel.reset(known.address);
    }
    if (!this._sessions.has(name) && !this._isStopped) {
      const session = this._createSession(name);
      this._sessions.set(name, session);
      session.start();
    }
  }

  /** Stops all sessions. */
  stop(): void {
    this._isStopped = true;
    this._sessions.forEach((session) => {
      session.stop();
    });
  }

  private _createSession(agent: string): AgentSession {
    const { workerTable, channel, clock, log, createCall, onReport, onSuperseded } = this._deps;
    return new AgentSession({
      ...{ agent, channel, clock, log, onSuperseded },
      getAddress: () => workerTable.getAgent(agent)?.record.address ?? "",
      createCall: () => createCall(agent),
      onReport: (report) => {
        onReport(agent, report);
      },
    });
  }
}
