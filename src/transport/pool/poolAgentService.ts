/**
 * Connect service of a pool's agents, which the scheduler of the pool calls.
 */
import { create } from "@bufbuild/protobuf";
import type { ConnectRouter } from "@connectrpc/connect";
import type { PoolWorkerAgent } from "../../coordination/pool/PoolWorkerAgent.ts";
import {
  ObserveReplySchema,
  OrderReplySchema,
  PoolAgent,
} from "../../protocol/generated/fireflylb/v1/pool_pb.ts";
import {
  readObserveRequest,
  readOrderRequest,
  writeObserveReply,
  writeOrderReply,
} from "./agentMessages.ts";

/**
 * Registers the service.
 * @param router - Router of the control server.
 * @param workerAgent - Handler of the calls.
 */
export function registerPoolAgent(router: ConnectRouter, workerAgent: PoolWorkerAgent): void {
  router.service(PoolAgent, {
    observe: async (req) => {
      const outcome = await workerAgent.observe(readObserveRequest(req));
      return outcome.kind === "answered"
        ? writeObserveReply(outcome.value)
        : create(ObserveReplySchema, { deposed: true });
    },
    order: async (req) => {
      const outcome = await workerAgent.order(readOrderRequest(req));
      return outcome.kind === "answered"
        ? writeOrderReply(outcome.value)
        : create(OrderReplySchema, { deposed: true });
    },
  });
}
