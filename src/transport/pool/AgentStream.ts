/**
 * Calls to one agent over one stream. A stream costs far less than an HTTP request for each call,
 * since only the messages themselves pass through it. A call without a reply by its timeout fails
 * alone; the end of the stream fails all calls without a reply.
 */
import { create } from "@bufbuild/protobuf";
import { Code, ConnectError, type Client } from "@connectrpc/connect";
import {
  ExchangeRequestSchema,
  type ExchangeReply,
  type ExchangeRequest,
  type PoolAgent,
} from "../../protocol/generated/fireflylb/v1/pool_pb.ts";
import { MessageQueue } from "./MessageQueue.ts";

/** A call to an agent, as a request has it. */
export type AgentCall = Exclude<ExchangeRequest["call"], { readonly case: undefined }>;
/** The reply to a call. */
export type AgentReply = ExchangeReply["reply"];

interface PendingCall {
  readonly resolve: (reply: AgentReply) => void;
  readonly reject: (cause: unknown) => void;
  readonly timer: NodeJS.Timeout;
}

/** Stream to one agent. */
export class AgentStream {
  private readonly _requests = new MessageQueue<ExchangeRequest>();
  private readonly _pending = new Map<number, PendingCall>();
  private readonly _abort = new AbortController();
  private _lastNumber = 0;
  private _hasEnded = false;
  private _isUnsupported = false;

  /**
   * Opens a stream.
   * @param client - Client of the agent.
   */
  constructor(client: Client<typeof PoolAgent>) {
    void this._readReplies(client);
  }

  /** Whether the stream has ended; calls then fail at once. */
  get hasEnded(): boolean {
    return this._hasEnded;
  }

  /** Whether the agent is of a former version that has no streams. */
  get isUnsupported(): boolean {
    return this._isUnsupported;
  }

  /**
   * Sends a call and waits for its reply; throws if there is none.
   * @param call - The call.
   * @param timeoutMs - Longest wait for the reply, in milliseconds.
   */
  async call(call: AgentCall, timeoutMs: number): Promise<AgentReply> {
    if (this._hasEnded) {
      throw new ConnectError("the stream has ended", Code.Unavailable);
    }
    this._lastNumber += 1;
    const number = this._lastNumber;
    return await new Promise<AgentReply>((resolve, reject) => {
      const timer = setTimeout(() => {
        this._fail(number, new ConnectError("no reply in time", Code.DeadlineExceeded));
      }, timeoutMs);
      this._pending.set(number, { resolve, reject, timer });
      this._requests.add(create(ExchangeRequestSchema, { number, call }));
    });
  }

  /** Ends the stream; calls without a reply fail. */
  close(): void {
    this._end(new ConnectError("the stream was closed", Code.Canceled));
    this._abort.abort();
  }

  private async _readReplies(client: Client<typeof PoolAgent>): Promise<void> {
    try {
      const replies = client.exchange(this._requests, { signal: this._abort.signal });
      for await (const { number, reply } of replies) {
        this._settle(number)?.resolve(reply);
      }
      this._end(new ConnectError("the agent ended the stream", Code.Unavailable));
    } catch (cause) {
      this._end(cause);
    }
  }

  private _end(cause: unknown): void {
    this._hasEnded = true;
    this._isUnsupported = ConnectError.from(cause).code === Code.Unimplemented;
    this._requests.end();
    [...this._pending.keys()].forEach((number) => {
      this._fail(number, cause);
    });
  }

  private _fail(number: number, cause: unknown): void {
    this._settle(number)?.reject(cause);
  }

  /** Removes a call that gets its reply or fails; returns undefined if it has failed before. */
  private _settle(number: number): PendingCall | undefined {
    const pending = this._pending.get(number);
    this._pending.delete(number);
    clearTimeout(pending?.timer);
    return pending;
  }
}
