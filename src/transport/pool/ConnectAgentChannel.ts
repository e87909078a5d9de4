/**
 * Sends a scheduler's calls to the agents with Connect over HTTP/2, all calls to an agent in one
 * stream. Keep-alive pings detect dead connections; a stream that has ended is opened anew by the
 * next call.
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
  failUnexpected,
  readObserveReply,
  readOrderReply,
  writeObserveRequest,
  writeOrderRequest,
} from "./agentMessages.ts";
import { AgentStream, type AgentCall, type AgentReply } from "./AgentStream.ts";

interface AgentClient {
  readonly client: Client<typeof PoolAgent>;
  readonly sessions: Http2SessionManager;
}

interface AgentConnection extends AgentClient {
  readonly stream: AgentStream;
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
    const req = { case: "observe", value: writeObserveRequest(call) } as const;
    return await this._call(address, req, call.waitMs + this._timeoutMs, (reply) => {
      const value = reply.case === "observe" ? reply.value : failUnexpected(reply);
      return value.deposed ? undefined : readObserveReply(value);
    });
  }

  override async order(address: string, call: OrderCall): Promise<AgentOutcome<OrderReport>> {
    const req = { case: "order", value: writeOrderRequest(call) } as const;
    return await this._call(address, req, this._timeoutMs, (reply) => {
      const value = reply.case === "order" ? reply.value : failUnexpected(reply);
      return value.deposed ? undefined : readOrderReply(value);
    });
  }

  override reset(address: string): void {
    const connection = this._connections.get(address);
    this._connections.delete(address);
    connection?.stream.close();
    connection?.sessions.abort();
  }

  /** Closes all connections. */
  close(): void {
    [...this._connections.keys()].forEach((address) => {
      this.reset(address);
    });
  }

  private async _call<T>(
    address: string,
    call: AgentCall,
    timeoutMs: number,
    read: (reply: AgentReply) => T | undefined,
  ): Promise<AgentOutcome<T>> {
    try {
      const value = read(await this._send(address, call, timeoutMs));
      return value === undefined ? { kind: "deposed" } : { kind: "answered", value };
    } catch (cause) {
      const error = ConnectError.from(cause);
      return { kind: "unreachable", detail: `${Code[error.code]}: ${error.rawMessage}` };
    }
  }

  /** Sends a call in the stream, or as a request of its own to an agent that has no streams. */
  private async _send(address: string, call: AgentCall, timeoutMs: number): Promise<AgentReply> {
    const { client, stream } = this._connect(address);
    try {
      return await stream.call(call, timeoutMs);
    } catch (cause) {
      if (!stream.isUnsupported) {
        throw cause;
      }
    }
    return await sendAlone(client, call, timeoutMs);
  }

  /** Returns the connection to an agent; opens a stream if there is none or if it has ended. */
  private _connect(address: string): AgentConnection {
    const known = this._connections.get(address);
    if (known !== undefined && (!known.stream.hasEnded || known.stream.isUnsupported)) {
      return known;
    }
    const { client, sessions } = known ?? this._createClient(address);
    const connection = { client, sessions, stream: new AgentStream(client) };
    this._connections.set(address, connection);
    return connection;
  }

  private _createClient(address: string): AgentClient {
    const baseUrl = `http://${address}`;
    const sessions = new Http2SessionManager(baseUrl, { pingIntervalMs: 2 * this._timeoutMs });
    const transport = createConnectTransport({
      baseUrl,
      httpVersion: "2",
      sessionManager: sessions,
      acceptCompression: [],
    });
    return { client: createClient(PoolAgent, transport), sessions };
  }
}

/** Sends a call as a request of its own. */
async function sendAlone(
  client: Client<typeof PoolAgent>,
  call: AgentCall,
  timeoutMs: number,
): Promise<AgentReply> {
  return call.case === "observe"
    ? { case: "observe", value: await client.observe(call.value, { timeoutMs }) }
    : { case: "order", value: await client.order(call.value, { timeoutMs }) };
}
