/**
 * Sends a scheduler's calls to the agents with Connect over HTTP/2. Keep-alive pings detect dead
 * connections, and after a call without a response a new connection is opened.
 */
import { Code, ConnectError, createClient, type Client } from "@connectrpc/connect";
import { createConnectTransport, Http2SessionManager } from "@connectrpc/connect-node";
import {
  AgentChannel,
  type AgentOutcome,
  type AgentReport,
  type ObserveCall,
  type OrderCall,
  type OrderReport,
} from "../../coordination/pool/AgentChannel.ts";
import { PoolAgent } from "../../protocol/generated/fireflylb/v1/pool_pb.ts";
import {
  readObserveReply,
  readOrderReply,
  writeObserveRequest,
  writeOrderRequest,
} from "./agentMessages.ts";

interface AgentConnection {
  readonly client: Client<typeof PoolAgent>;
  readonly sessions: Http2SessionManager;
}

/** Agent channel over Connect. */
export class ConnectAgentChannel extends AgentChannel {
  private readonly _timeoutMs: number;
  private readonly _connections = new Map<string, AgentConnection>();

  /**
   * Creates a channel; it connects with the first call.
   * @param timeoutMs - Timeout of a call beyond the wait that it requests, in milliseconds.
   */
  constructor(timeoutMs: number) {
    super();
    this._timeoutMs = timeoutMs;
  }

  override async observe(address: string, call: ObserveCall): Promise<AgentOutcome<AgentReport>> {
    return this._call(async () => {
      const timeoutMs = call.waitMs + this._timeoutMs;
      const reply = await this._connect(address).client.observe(writeObserveRequest(call), {
        timeoutMs,
      });
      return reply.deposed ? undefined : readObserveReply(reply);
    });
  }

  override async order(address: string, call: OrderCall): Promise<AgentOutcome<OrderReport>> {
    return this._call(async () => {
      const timeoutMs = this._timeoutMs;
      const reply = await this._connect(address).client.order(writeOrderRequest(call), {
        timeoutMs,
      });
      return reply.deposed ? undefined : readOrderReply(reply);
    });
  }

  override reset(address: string): void {
    this._connections.get(address)?.sessions.abort();
    this._connections.delete(address);
  }

  /** Closes all connections. */
  close(): void {
    [...this._connections.keys()].forEach((address) => {
      this.reset(address);
    });
  }

  private async _call<T>(send: () => Promise<T | undefined>): Promise<AgentOutcome<T>> {
    try {
      const value = await send();
      return value === undefined ? { kind: "deposed" } : { kind: "answered", value };
    } catch (cause) {
      const error = ConnectError.from(cause);
      return { kind: "unreachable", detail: `${Code[error.code]}: ${error.rawMessage}` };
    }
  }

  private _connect(address: string): AgentConnection {
    const existing = this._connections.get(address);
    if (existing !== undefined) {
      return existing;
    }
    const baseUrl = `http://${address}`;
    const sessions = new Http2SessionManager(baseUrl, { pingIntervalMs: 2 * this._timeoutMs });
    const transport = createConnectTransport({
      baseUrl,
      httpVersion: "2",
      sessionManager: sessions,
    });
    const connection = { client: createClient(PoolAgent, transport), sessions };
    this._connections.set(address, connection);
    return connection;
  }
}
