/**
 * Connections of one entry to agents: HTTP connection pools for requests and Connect clients for
 * control.
 */
import type { Client } from "@connectrpc/connect";
import { Pool } from "undici";
import { AgentControl } from "../../../protocol/generated/fireflylb/v1/control_pb.ts";
import { ControlClients } from "../../control/ControlClients.ts";

/** Maximum number of connections to one agent. */
const MAX_CONNECTIONS = 128;
const CONNECT_TIMEOUT_MS = 1_000;
const KEEP_ALIVE_MS = 60_000;

/** Client of an agent's control interface. */
export type AgentControlClient = Client<typeof AgentControl>;

/** Connections to agents, by address. */
export class AgentConnections {
  private readonly _pools = new Map<string, Pool>();
  private readonly _clients = new ControlClients(AgentControl);

  /**
   * Gets the connection pool for requests to an agent.
   * @param address - Request address of the agent.
   */
  getPool(address: string): Pool {
    const known = this._pools.get(address);
    if (known !== undefined) {
      return known;
    }
    const pool = new Pool(`http://${address}`, {
      connections: MAX_CONNECTIONS,
      pipelining: 1,
      connectTimeout: CONNECT_TIMEOUT_MS,
      keepAliveTimeout: KEEP_ALIVE_MS,
    });
    this._pools.set(address, pool);
    return pool;
  }

  /**
   * Gets the client of an agent's control interface.
   * @param address - Control address of the agent.
   */
  getControlClient(address: string): AgentControlClient {
    return this._clients.getClient(address);
  }

  /**
   * Drops the connections of an agent that has left the fleet.
   * @param requestAddress - Its request address.
   * @param controlAddress - Its control address.
   */
  drop(requestAddress: string, controlAddress: string): void {
    const pool = this._pools.get(requestAddress);
    this._pools.delete(requestAddress);
    this._clients.drop(controlAddress);
    void pool?.close();
  }

  /** Closes all connection pools once their requests have ended. */
  async close(): Promise<void> {
    await Promise.all([...this._pools.values()].map((pool) => pool.close()));
  }
}
