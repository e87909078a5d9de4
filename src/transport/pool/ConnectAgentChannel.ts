/**
 * The scheduler's way to the agents by Connect over HTTP/2. A connection that stays silent is given
 * up by keep-alive pings, and made anew after a call without an answer.
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

/** Channel by Connect. */
export class ConnectAgentChannel extends AgentChannel {
  private readonly _timeoutMs: number;
  private readonly _connections = new Map<string, AgentConnection>();

  /**
   * Creates a channel; it connects with the first call.
   * @param timeoutMs - Time after which a call is given up, beyond what it asks to wait.
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

  /** Drops all connections. */
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
    const known = this._connections.get(address);
    if (known !== undefined) {
      return known;
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
