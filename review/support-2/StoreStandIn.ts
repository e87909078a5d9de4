/**
 * Stand-in for the users' store: their protocol over the state of the project's own stand-in, with
 * the page sizes and the bound on the size of a value that their pages name.
 */
import { z } from "zod";
import type { StoreEntry } from "../../src/protocol/platform/Store.ts";
import { SystemClock } from "../../src/transport/platform/SystemClock.ts";
import { StoreModel, type ModelWatchResult } from "../../standins/store/StoreModel.ts";
import {
  createReply,
  JsonServer,
  type JsonReply,
  type JsonRequest,
} from "../../standins/support/JsonServer.ts";

/** Largest value, as in the settings on the users' page. */
const MAX_VALUE_BYTES = 1_048_576;
const MAX_PAGE_ITEMS = 500;
const MAX_PAGE_BYTES = 1_048_576;
const MAX_TRANSACTION_ROWS = 32;

const Txn = z.object({
  precondition: z.array(z.object({ key: z.string(), revision: z.number() })).default([]),
  puts: z
    .array(z.object({ key: z.string(), value: z.string(), lease: z.number().default(0) }))
    .default([]),
  remove: z.array(z.string()).default([]),
});
const LeaseCall = z.object({ ttl_ms: z.number() });

type TxnCall = z.infer<typeof Txn>;

/** Store with the users' protocol. */
export class StoreStandIn {
  readonly model: StoreModel;
  private readonly _clock = new SystemClock();
  private readonly _server: JsonServer;
  private readonly _leases = new Map<number, string>();
  private readonly _onRefused: (key: string, bytes: number) => void;

  /**
   * Creates a store that does not listen yet.
   * @param address - Address to listen on.
   * @param onRefused - Called with each key of which a value was too large.
   */
  constructor(address: string, onRefused: (key: string, bytes: number) => void) {
    this.model = new StoreModel(this._clock);
    this._server = new JsonServer(address, (req) => this._serve(req));
    this._onRefused = onRefused;
  }

  /** Starts listening. */
  async start(): Promise<void> {
    await this._server.start();
  }

  /** Stops listening. */
  async stop(): Promise<void> {
    this.model.finishWatches();
    await this._server.stop();
  }

  /**
   * Writes a key as the operator does.
   * @param key - The key.
   * @param value - Its value.
   */
  put(key: string, value: unknown): void {
    const expected = this.model.read(key)?.revision ?? 0;
    this.model.write({ key, value: JSON.stringify(value), expected });
  }

  private _serve(req: JsonRequest): Promise<JsonReply> | JsonReply {
    const { method, path, query } = req;
    switch (`${method} ${path}`) {
      case "GET /v1/kv-key": {
        const entry = this.model.read(query.get("key") ?? "");
        return entry === undefined ? createReply({}, 404) : createReply(toItem(entry));
      }
      case "GET /v1/kv-range":
        return this._range(query.get("prefix") ?? "", query.get("after") ?? "");
      case "GET /v1/kv-watch":
        return this._watch(req);
      case "POST /v1/kv-txn":
        return this._transact(Txn.parse(req.body));
      case "POST /v1/kv-lease":
        return this._grant(LeaseCall.parse(req.body).ttl_ms);
      default:
        return this._callLease(method, path);
    }
  }

  private _range(prefix: string, after: string): JsonReply {
    const { entries, revision } = this.model.list(prefix);
    const rest = entries.filter(({ key }) => key > after);
    let bytes = 0;
    const page = rest.slice(0, MAX_PAGE_ITEMS).filter(({ value }, position) => {
      bytes += Buffer.byteLength(value);
      return position === 0 || bytes <= MAX_PAGE_BYTES;
    });
    const hasMore = page.length < rest.length;
    return createReply({ items: page.map(toItem), has_more: hasMore, as_of: revision });
  }

  private async _watch({ query, disconnected }: JsonRequest): Promise<JsonReply> {
    const result = await new Promise<ModelWatchResult>((resolve) => {
      const after = Number(query.get("after"));
      const pending = this.model.watch(query.get("prefix") ?? "", after, resolve);
      const timer = this._clock.after(Number(query.get("wait_ms")), () => {
        pending.finish();
      });
      disconnected.addEventListener("abort", () => {
        timer.cancel();
        pending.finish();
      });
    });
    if (result.kind === "compacted") {
      return createReply({}, 410);
    }
    const events = result.changes.map(({ key, value, revision }) =>
      value === undefined ? { key, revision, tombstone: true } : toItem({ key, value, revision }),
    );
    return createReply({ as_of: result.revision, events });
  }

  private _transact({ precondition, puts, remove }: TxnCall): JsonReply {
    const tooLarge = puts.find(({ value }) => getBytes(value) > MAX_VALUE_BYTES);
    if (tooLarge !== undefined) {
      this._onRefused(tooLarge.key, getBytes(tooLarge.value));
      return createReply({ error: "value_bytes" }, 400);
    }
    if (precondition.length + puts.length + remove.length > MAX_TRANSACTION_ROWS) {
      return createReply({ error: "too many entries" }, 400);
    }
    const leases = puts.map(({ lease }) => (lease === 0 ? undefined : this._leases.get(lease)));
    if (puts.some(({ lease }, position) => lease !== 0 && leases[position] === undefined)) {
      return createReply({}, 404);
    }
    const result = this.model.transact({
      checks: precondition.map(({ key, revision }) => ({ key, expected: revision })),
      writes: puts.map(({ key, value }, position) => {
        const lease = leases[position];
        const expected = this.model.read(key)?.revision ?? 0;
        const text = Buffer.from(value, "base64").toString("utf8");
        return { key, value: text, expected, ...(lease === undefined ? {} : { lease }) };
      }),
    });
    if (result.kind === "conflict") {
      return createReply({ items: result.current.map(toItem) }, 412);
    }
    if (result.kind === "lease-lost") {
      return createReply({}, 404);
    }
    remove.forEach((key) => this.model.remove(key, this.model.read(key)?.revision ?? 0));
    return createReply({ revision: this.model.revision });
  }

  private _grant(ttlMs: number): JsonReply {
    const id = this._leases.size + 1;
    this._leases.set(id, this.model.grantLease(ttlMs));
    return createReply({ lease: id, ttl_ms: ttlMs });
  }

  private _callLease(method: string, path: string): JsonReply {
    const lease = this._leases.get(Number(path.split("/").at(-1))) ?? "";
    const isFound =
      method === "POST" ? this.model.renewLease(lease) : this.model.revokeLease(lease);
    return createReply({}, isFound ? 200 : 404);
  }
}

function getBytes(base64: string): number {
  return Buffer.byteLength(base64, "base64");
}

function toItem({ key, value, revision }: StoreEntry): object {
  const encoded = Buffer.from(value, "utf8").toString("base64");
  return { key, value: encoded, revision, created: revision, lease: 0 };
}
