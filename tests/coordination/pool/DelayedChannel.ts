/**
 * Channel from a simulated entry to the agents over a network with delays. A call that times out may
 * be carried out later, by the process of the agent that is there then.
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
import type { FreezableClock } from "./FreezableClock.ts";
import type { DelayedPoolSimulation } from "./DelayedPoolSimulation.ts";
import type { MessageKind, SimulatedNetwork } from "./SimulatedNetwork.ts";

/** Dependencies of a channel. */
export interface DelayedChannelDependencies {
  readonly simulation: DelayedPoolSimulation;
  readonly network: SimulatedNetwork;
  /** Clock of the entry. */
  readonly clock: FreezableClock;
  readonly entry: string;
  readonly timeoutMs: number;
  /** Returns whether calls to an agent are lost. */
  readonly isDisconnected: (agent: string) => boolean;
}

/** Channel of one entry. */
export class DelayedChannel extends AgentChannel {
  private readonly _deps: DelayedChannelDependencies;

  /**
   * Creates a channel.
   * @param deps - Agents, network and the entry.
   */
  constructor(deps: DelayedChannelDependencies) {
    super();
    this._deps = deps;
  }

  override observe(address: string, call: ObserveCall): Promise<AgentOutcome<AgentReport>> {
    return this._call(this._getName(address), "observe", call.waitMs, (agent) =>
      agent.observe(call),
    );
  }

  override order(address: string, call: OrderCall): Promise<AgentOutcome<OrderReport>> {
    return this._call(this._getName(address), "order", 0, (agent) => agent.order(call));
  }

  override reset(address: string): void {
    const { network, entry } = this._deps;
    network.reset(`${entry} ${this._getName(address)}`);
  }

  /** Gets the name of the agent at an address. */
  private _getName(address: string): string {
    return this._deps.simulation.getAgentAt(address)?.name ?? address;
  }

  private async _call<T>(
    name: string,
    kind: "observe" | "order",
    waitMs: number,
    send: (agent: PoolWorkerAgent) => Promise<AgentOutcome<T>>,
  ): Promise<AgentOutcome<T>> {
    const { simulation, clock, timeoutMs } = this._deps;
    const lost = { kind: "unreachable", detail: "no response before the timeout" } as const;
    const ended = new Promise<typeof lost>((resolve) => {
      simulation.whenEnded(name, () => {
        resolve(lost);
      });
    });
    const timeout = clock.sleep(timeoutMs + waitMs).then(() => lost);
    const outcome = await Promise.race([this._carryOut(name, kind, send), timeout, ended]);
    await clock.whenRunning();
    return outcome;
  }

  /** Carries a call out; never resolves if the call or its response is lost. */
  private async _carryOut<T>(
    name: string,
    kind: "observe" | "order",
    send: (agent: PoolWorkerAgent) => Promise<AgentOutcome<T>>,
  ): Promise<AgentOutcome<T>> {
    const { simulation, network, entry, isDisconnected } = this._deps;
    const parties = [name, entry];
    const replyKind: MessageKind = `${kind}-reply`;
    await network.transfer(kind, parties, `${entry} ${name} calls`);
    const agent = simulation.getAgent(name);
    const isLost = (): boolean => agent?.isDisconnected === true || isDisconnected(name);
    if (agent === undefined || isLost()) {
      return new Promise(() => undefined);
    }
    if (simulation.isDown(name)) {
      return { kind: "unreachable", detail: "connection refused" };
    }
    const process = agent.workerAgent;
    const outcome = await send(process);
    if (simulation.getAgent(name)?.workerAgent !== process || simulation.isDown(name)) {
      return new Promise(() => undefined);
    }
    await network.transfer(replyKind, parties, `${entry} ${name} replies`);
    return isLost() ? new Promise(() => undefined) : outcome;
  }
}
