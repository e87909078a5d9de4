/**
 * Sends the orders of partition owners to agents over Connect.
 */
import type { Client } from "@connectrpc/connect";
import {
  AgentGateway,
  type StartOrder,
  type StartOutcome,
  type StopOrder,
  type StopOutcome,
} from "../../../coordination/batch/AgentGateway.ts";
import type {
  AgentControl,
  StopTaskReply,
} from "../../../protocol/generated/fireflylb/v1/control_pb.ts";

const START_TIMEOUT_MS = 3_000;
/** Longer than the timeout of a start, because a stop may wait for a checkpoint. */
const STOP_TIMEOUT_MS = 10_000;

/** Client of an agent's control interface. */
export type AgentControlClient = Client<typeof AgentControl>;

/** Gateway to agents over Connect. */
export class ConnectAgentGateway extends AgentGateway {
  private readonly _ownerAddress: string;
  private readonly _createClient: (controlAddress: string) => AgentControlClient;

  /**
   * Creates a gateway.
   * @param ownerAddress - Control address of this entry, to which agents report.
   * @param createClient - Creates or returns the client of an agent.
   */
  constructor(ownerAddress: string, createClient: (controlAddress: string) => AgentControlClient) {
    super();
    this._ownerAddress = ownerAddress;
    this._createClient = createClient;
  }

  override async startTask(controlAddress: string, order: StartOrder): Promise<StartOutcome> {
    try {
      const reply = await this._createClient(controlAddress).startTask(
        {
          ...order,
          epoch: BigInt(order.epoch),
          sequence: BigInt(order.sequence),
          ownerAddress: this._ownerAddress,
          resources: { ...order.resources },
        },
        { timeoutMs: START_TIMEOUT_MS },
      );
      return reply.accepted ? { kind: "accepted" } : { kind: "refused", reason: reply.refusal };
    } catch {
      return { kind: "unknown" };
    }
  }

  override async stopTask(controlAddress: string, order: StopOrder): Promise<StopOutcome> {
    try {
      const reply = await this._createClient(controlAddress).stopTask(
        { ...order, epoch: BigInt(order.epoch) },
        { timeoutMs: STOP_TIMEOUT_MS },
      );
      return reply.stopped ? ConnectAgentGateway._toStopOutcome(reply) : { kind: "unknown" };
    } catch {
      return { kind: "unknown" };
    }
  }

  private static _toStopOutcome(reply: StopTaskReply): StopOutcome {
    const { checkpoint, state } = reply;
    const ended =
      state?.phase === "completed" || state?.phase === "failed" ? state.phase : undefined;
    return { kind: "stopped", ended, checkpoint, reason: state?.reason ?? "" };
  }
}
