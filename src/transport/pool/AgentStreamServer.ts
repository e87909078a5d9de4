/**
 * Agent's side of the streams of calls: each request is handled as it arrives, and its reply is sent
 * once it is there, whatever the order.
 */
import { create } from "@bufbuild/protobuf";
import {
  ExchangeReplySchema,
  type ExchangeReply,
  type ExchangeRequest,
} from "../../protocol/generated/fireflylb/v1/pool_pb.ts";
import type { Log } from "../../protocol/platform/Log.ts";
import type { AgentReply } from "./AgentStream.ts";
import { MessageQueue } from "./MessageQueue.ts";

/** Handles one call. */
export type AgentCallHandler = (call: ExchangeRequest["call"]) => Promise<AgentReply>;

/** Streams of one agent. */
export class AgentStreamServer {
  private readonly _handle: AgentCallHandler;
  private readonly _log: Log;
  private readonly _streams = new Set<MessageQueue<ExchangeReply>>();
  private readonly _inProgress = new Set<Promise<void>>();

  /**
   * Creates a server without streams.
   * @param handle - Handler of the calls; what it throws becomes the reply.
   * @param log - Log of the streams.
   */
  constructor(handle: AgentCallHandler, log: Log) {
    this._handle = handle;
    this._log = log;
  }

  /**
   * Serves one stream until the scheduler ends it or the server is closed.
   * @param requests - Requests of the stream.
   */
  async *serve(requests: AsyncIterable<ExchangeRequest>): AsyncGenerator<ExchangeReply> {
    const replies = new MessageQueue<ExchangeReply>();
    this._streams.add(replies);
    void this._readRequests(requests, replies);
    try {
      yield* replies;
    } finally {
      replies.end();
      this._streams.delete(replies);
    }
  }

  /** Ends all streams after the replies to the calls in progress. */
  async close(): Promise<void> {
    await Promise.all(this._inProgress);
    this._streams.forEach((replies) => {
      replies.end();
    });
  }

  private async _readRequests(
    requests: AsyncIterable<ExchangeRequest>,
    replies: MessageQueue<ExchangeReply>,
  ): Promise<void> {
    try {
      for await (const request of requests) {
        const replied = this._reply(request, replies).finally(() => {
          this._inProgress.delete(replied);
        });
        this._inProgress.add(replied);
      }
    } catch (cause) {
      this._log.info("A scheduler's stream was cut off; the scheduler opens another one.", {
        reason: String(cause),
      });
    }
    replies.end();
  }

  private async _reply(
    { number, call }: ExchangeRequest,
    replies: MessageQueue<ExchangeReply>,
  ): Promise<void> {
    const reply = await this._handle(call).catch((cause: unknown): AgentReply => {
      const reason = String(cause);
      this._log.error("A call of a scheduler failed; the scheduler is told.", { reason });
      return { case: "error", value: reason };
    });
    replies.add(create(ExchangeReplySchema, { number, reply }));
  }
}
