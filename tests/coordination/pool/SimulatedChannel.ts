/**
 * Channel from a simulated entry to the agents of its pool.
 */
import {
  AgentChannel,
  type AgentOutcome,
  type AgentReport,
  type ObserveCall,
  type OrderCall,
  type OrderReport,
} from "../../../src/coordination/pool/AgentChannel.ts";
import type { PoolWorkerAgent } from "../../../src/coordination/pool/PoolWorkerAgent.ts";
import type { PoolSimulation } from "./PoolSimulation.ts";
import type { SimulatedAgent } from "./simulatedPool.ts";

/** In-process channel; calls over a broken connection time out. */
export class SimulatedChannel extends AgentChannel {
  private readonly _simulation: PoolSimulation;
  private readonly _timeoutMs: number;
  private readonly _isDisconnected: (agent: string) => boolean;

  /**
   * Creates a channel of one entry.
   * @param simulation - The agents and the link to them.
   * @param timeoutMs - Timeout of a call, in milliseconds.
   * @param isDisconnected - Returns whether calls to an agent are lost.
   */
  constructor(
    simulation: PoolSimulation,
    timeoutMs: number,
    isDisconnected: (agent: string) => boolean,
  ) {
    super();
    this._simulation = simulation;
    this._timeoutMs = timeoutMs;
    this._isDisconnected = isDisconnected;
  }

  override observe(address: string, call: ObserveCall): Promise<AgentOutcome<AgentReport>> {
    return this._call(address, call.waitMs, (workerAgent) => workerAgent.observe(call));
  }

  override async order(address: string, call: OrderCall): Promise<AgentOutcome<OrderReport>> {
    const bytes = Buffer.byteLength(JSON.stringify(call));
    const { orderLink } = this._simulation;
    const hasArrived = await (orderLink?.transfer(bytes, this._timeoutMs) ?? true);
    return hasArrived
      ? this._call(address, 0, (workerAgent) => workerAgent.order(call))
      : { kind: "unreachable", detail: "no response before the timeout" };
  }

  override reset(): void {
    // In-process calls have no connection.
  }

  private async _call<T>(
    address: string,
    waitMs: number,
    send: (workerAgent: PoolWorkerAgent) => Promise<AgentOutcome<T>>,
  ): Promise<AgentOutcome<T>> {
    const { clock } = this._simulation;
    const agent = this._simulation.getAgentAt(address);
    const lost = { kind: "unreachable", detail: "no response before the timeout" } as const;
    if (agent === undefined || this._isLost(agent)) {
      await clock.sleep(this._timeoutMs);
      return lost;
    }
    const timeout = clock.sleep(this._timeoutMs + waitMs).then(() => lost);
    const outcome = await Promise.race([send(agent.workerAgent), timeout]);
    return this._isLost(agent) ? lost : outcome;
  }

  private _isLost(agent: SimulatedAgent): boolean {
    return agent.isDisconnected || this._isDisconnected(agent.name);
  }
}
