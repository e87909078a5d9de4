/**
 * Adapter to a store with JSON over HTTP; watches are long polls.
 */
import { err, ok } from "neverthrow";
import type { Result, ResultAsync } from "neverthrow";
import { z } from "zod";
import { Store } from "../../protocol/platform/Store.ts";
import type {
  StoreChanges,
  StoreEntry,
  StoreFailure,
  StorePage,
  StoreTransaction,
  StoreWrite,
  TransactionResult,
  WriteResult,
} from "../../protocol/platform/Store.ts";
import { JsonClient } from "../http/JsonClient.ts";
import type { JsonResponse, JsonFailure } from "../http/JsonClient.ts";

/** Time after which the store responds to a watch without changes. */
const WATCH_WAIT_MS = 2_000;

const entrySchema = z.object({ key: z.string(), value: z.string(), revision: z.number() });
const readReplySchema = z.object({ entry: entrySchema.nullable() });
const listReplySchema = z.object({ entries: z.array(entrySchema), revision: z.number() });
const writeReplySchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("written"), revision: z.number() }),
  z.object({ kind: z.literal("conflict"), current: entrySchema.optional() }),
]);
const transactReplySchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("written"), revision: z.number() }),
  z.object({ kind: z.literal("conflict"), current: z.array(entrySchema) }),
]);
const changesReplySchema = z.object({
  changes: z.array(
    z.object({ key: z.string(), value: z.string().optional(), revision: z.number() }),
  ),
  revision: z.number(),
});
const grantReplySchema = z.object({ lease: z.string() });
const emptyReplySchema = z.object({});

interface StoreCall<T> {
  readonly path: string;
  readonly body: unknown;
  readonly reply: z.ZodType<T>;
  readonly writes: boolean;
  readonly timeoutMs: number;
}

/** Options of `HttpStore`. */
export interface HttpStoreOptions {
  /** Address as "host:port". */
  readonly address: string;
  /**
   * Longest time without progress of a call, in milliseconds; in a watch, in addition to the time
   * that the store may wait for changes.
   */
  readonly timeoutMs: number;
}

/** Store that is called over HTTP. */
export class HttpStore extends Store {
  private readonly _client: JsonClient;
  private readonly _timeoutMs: number;

  /**
   * Creates the adapter, which connects on its first call.
   * @param options - Options of the adapter.
   */
  constructor(options: HttpStoreOptions) {
    super();
    this._timeoutMs = options.timeoutMs;
    this._client = new JsonClient(options.address, options.timeoutMs);
  }

  /** Closes all connections; calls in progress fail. */
  async close(): Promise<void> {
    await this._client.close();
  }

  override read(key: string): ResultAsync<StoreEntry | undefined, StoreFailure> {
    return this._read("/v1/read", { key }, readReplySchema).map(
      (reply) => reply.entry ?? undefined,
    );
  }

  /** The protocol has no pages: the first one has all keys. */
  override listPage(prefix: string, after: string): ResultAsync<StorePage, StoreFailure> {
    return this._read("/v1/list", { prefix }, listReplySchema).map(({ entries, revision }) => ({
      entries: entries.filter(({ key }) => key > after),
      revision,
      next: undefined,
    }));
  }

  override write(write: StoreWrite): ResultAsync<WriteResult, StoreFailure> {
    return this._write("/v1/write", write, writeReplySchema).map(toWriteResult);
  }

  override transact(transaction: StoreTransaction): ResultAsync<TransactionResult, StoreFailure> {
    return this._write("/v1/transact", transaction, transactReplySchema);
  }

  override remove(key: string, expected: number): ResultAsync<WriteResult, StoreFailure> {
    return this._write("/v1/remove", { key, expected }, writeReplySchema).map(toWriteResult);
  }

  override watch(
    prefix: string,
    after: number,
    waitMs = WATCH_WAIT_MS,
  ): ResultAsync<StoreChanges, StoreFailure> {
    const call = {
      path: "/v1/watch",
      body: { prefix, after, waitMs },
      reply: changesReplySchema,
      writes: false,
      timeoutMs: waitMs + this._timeoutMs,
    };
    return this._call(call).map((reply) => ({
      revision: reply.revision,
      changes: reply.changes.map(({ key, value, revision }) => ({ key, value, revision })),
    }));
  }

  override grantLease(ttlMs: number): ResultAsync<string, StoreFailure> {
    return this._write("/v1/lease/grant", { ttlMs }, grantReplySchema).map((reply) => reply.lease);
  }

  override renewLease(lease: string): ResultAsync<void, StoreFailure> {
    return this._write("/v1/lease/renew", { lease }, emptyReplySchema).map(() => undefined);
  }

  override revokeLease(lease: string): ResultAsync<void, StoreFailure> {
    return this._write("/v1/lease/revoke", { lease }, emptyReplySchema).map(() => undefined);
  }

  private _read<T>(path: string, body: unknown, reply: z.ZodType<T>): ResultAsync<T, StoreFailure> {
    return this._call({ path, body, reply, writes: false, timeoutMs: this._timeoutMs });
  }

  private _write<T>(
    path: string,
    body: unknown,
    reply: z.ZodType<T>,
  ): ResultAsync<T, StoreFailure> {
    return this._call({ path, body, reply, writes: true, timeoutMs: this._timeoutMs });
  }

  private _call<T>(call: StoreCall<T>): ResultAsync<T, StoreFailure> {
    const { path, body, timeoutMs } = call;
    return this._client
      .call({ method: "POST", path, body, timeoutMs })
      .mapErr((cause) => toFailure(cause, call.writes))
      .andThen((response) => parseResponse(response, call));
  }
}

function parseResponse<T>(response: JsonResponse, call: StoreCall<T>): Result<T, StoreFailure> {
  if (response.status !== 200) {
    return err(toStatusFailure(response, call.writes));
  }
  const reply = call.reply.safeParse(response.body);
  if (!reply.success) {
    return err(createFailure("unavailable", call.writes, "the response of the store is invalid"));
  }
  return ok(reply.data);
}

function toStatusFailure(response: JsonResponse, writes: boolean): StoreFailure {
  switch (response.status) {
    case 409:
      return createFailure("lease-lost", false, "the lease has ended");
    case 410:
      return createFailure("compacted", false, "the store no longer has the changes asked for");
    case 400:
      return createFailure("rejected", false, "the store takes the call for invalid");
    case 413:
      return createFailure("rejected", false, "the value exceeds the store's size limit");
    case 429:
      return createFailure("rate-limited", false, "the store's rate limit is exceeded");
    default:
      return createFailure(
        "unavailable",
        writes,
        `the store responded with status ${response.status}`,
      );
  }
}

function toFailure(cause: JsonFailure, writes: boolean): StoreFailure {
  return createFailure(cause.kind, writes && cause.mayHaveArrived, cause.detail);
}

function toWriteResult(reply: z.infer<typeof writeReplySchema>): WriteResult {
  return reply.kind === "written" ? reply : { kind: "conflict", current: reply.current };
}

function createFailure(
  kind: StoreFailure["kind"],
  mayHaveWritten: boolean,
  detail: string,
): StoreFailure {
  return { kind, mayHaveWritten, detail };
}
