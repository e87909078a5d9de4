/**
 * The agents' control service by Connect.
 */
import { create } from "@bufbuild/protobuf";
import type { ConnectRouter } from "@connectrpc/connect";
import type { WorkerKeeper } from "../../coordination/pool/WorkerKeeper.ts";
import {
  ObserveReplySchema,
  OrderReplySchema,
  PoolAgent,
} from "../../protocol/generated/fireflylb/v1/pool_pb.ts";
import { readObserve, readOrders, writeReport, writeResults } from "./agentMessages.ts";

/**
 * Registers the service.
 * @param router - Where to register it.
 * @param keeper - Agent that answers.
 */
export function registerPoolAgent(router: ConnectRouter, keeper: WorkerKeeper): void {
  router.service(PoolAgent, {
    observe: async (req) => {
      const outcome = await keeper.observe(readObserve(req));
      return outcome.kind === "answered"
        ? writeReport(outcome.value)
        : create(ObserveReplySchema, { deposed: true });
    },
    order: async (req) => {
      const outcome = await keeper.order(readOrders(req));
      return outcome.kind === "answered"
        ? writeResults(outcome.value)
        : create(OrderReplySchema, { deposed: true });
    },
  });
}
