/**
 * Connect service of a pool's agents, which the scheduler of the pool calls. Calls come in streams;
 * entries of former versions send each one as a request of its own.
 */
import { create } from "@bufbuild/protobuf";
import type { ConnectRouter } from "@connectrpc/connect";
import type { PoolWorkerAgent } from "../../coordination/pool/PoolWorkerAgent.ts";
import {
  ObserveReplySchema,
  OrderReplySchema,
  PoolAgent,
  type ExchangeRequest,
  type ObserveRequest,
  type OrderRequest,
} from "../../protocol/generated/fireflylb/v1/pool_pb.ts";
import {
  failUnexpected,
  readObserveRequest,
  readOrderRequest,
  writeObserveReply,
  writeOrderReply,
} from "./agentMessages.ts";
import type { Log } from "../../protocol/platform/Log.ts";
import type { AgentReply } from "./AgentStream.ts";
import { AgentStreamServer } from "./AgentStreamServer.ts";

/** The calls of an agent. */
type AgentCalls = Pick<PoolWorkerAgent, "observe" | "order">;

/** Service of one agent. */
export class PoolAgentService {
  private readonly _workerAgent: AgentCalls;
  private readonly _streams: AgentStreamServer;

  /**
   * Creates the service.
   * @param workerAgent - Handler of the calls.
   * @param log - Log of the agent.
   */
  constructor(workerAgent: AgentCalls, log: Log) {
    this._workerAgent = workerAgent;
    this._streams = new AgentStreamServer((call) => this._handle(call), log.child("streams"));
  }

  /**
   * Registers the service.
   * @param router - Router of the control server.
   */
  register(router: ConnectRouter): void {
    router.service(PoolAgent, {
      observe: async (req) => {
        const reply = await this._observe(req);
        return reply.case === "observe" ? reply.value : failUnexpected(reply);
      },
      order: async (req) => {
        const reply = await this._order(req);
        return reply.case === "order" ? reply.value : failUnexpected(reply);
      },
      exchange: (requests) => this._streams.serve(requests),
    });
  }

  /** Ends all streams after the replies to the calls in progress. */
  async close(): Promise<void> {
    await this._streams.close();
  }

  private async _handle(call: ExchangeRequest["call"]): Promise<AgentReply> {
    switch (call.case) {
      case "observe":
        return await this._observe(call.value);
      case "order":
        return await this._order(call.value);
      default:
        return { case: "error", value: "the request has no call that this agent knows" };
    }
  }

  private async _observe(req: ObserveRequest): Promise<AgentReply> {
    const outcome = await this._workerAgent.observe(readObserveRequest(req));
    switch (outcome.kind) {
      case "answered":
        return { case: "observe", value: writeObserveReply(outcome.value) };
      case "deposed":
        return { case: "observe", value: create(ObserveReplySchema, { deposed: true }) };
      case "unreachable":
        return { case: "error", value: outcome.detail };
    }
  }

  private async _order(req: OrderRequest): Promise<AgentReply> {
    const outcome = await this._workerAgent.order(readOrderRequest(req));
    switch (outcome.kind) {
      case "answered":
        return { case: "order", value: writeOrderReply(outcome.value) };
      case "deposed":
        return { case: "order", value: create(OrderReplySchema, { deposed: true }) };
      case "unreachable":
        return { case: "error", value: outcome.detail };
    }
  }
}
