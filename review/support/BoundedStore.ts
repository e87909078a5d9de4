/**
 * Stand-in for the platform's store that keeps the limits of its page: the size of a value, the
 * entries of a transaction and the size of a page of items. It has the state of the project's stand-in.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { StoreEntry } from "../../src/protocol/platform/Store.ts";
import { SystemClock } from "../../src/transport/platform/SystemClock.ts";
import { StoreModel, type ModelWatchResult } from "../../standins/store/StoreModel.ts";

/** Largest value, in bytes (`value_bytes`). */
export const VALUE_BYTES = 1_048_576;
const MAX_ENTRIES = 32;
const PAGE_ITEMS = 500;

interface Put {
  readonly key: string;
  readonly value: string;
  readonly lease: number;
}

interface Txn {
  readonly precondition: readonly { readonly key: string; readonly revision: number }[];
  readonly puts: readonly Put[];
  readonly remove: readonly string[];
}

interface Reply {
  readonly status: number;
  readonly body: unknown;
}

/** Store of the platform. */
export class BoundedStore {
  readonly model: StoreModel;
  /** Number of transactions that were refused because a value is too large. */
  refusedValues = 0;
  private readonly _address: string;
  private readonly _clock = new SystemClock();
  private readonly _server: Server;
  private readonly _leases = new Map<number, string>();

  /**
   * Creates a store that does not listen yet.
   * @param address - Address to listen on, as "host:port".
   */
  constructor(address: string) {
    this._address = address;
    this.model = new StoreModel(this._clock);
    this._server = createServer((req, res) => void this._serve(req, res));
  }

  /** Starts listening. */
  async start(): Promise<void> {
    const [host, port] = this._address.split(":");
    await new Promise<void>((resolve) => this._server.listen(Number(port), host, resolve));
  }

  /** Stops listening and closes all connections. */
  async stop(): Promise<void> {
    this.model.finishWatches();
    this._server.closeAllConnections();
    await new Promise<void>((resolve) => {
      this._server.close(() => {
        resolve();
      });
    });
  }

  /**
   * Writes a key unconditionally, as an operator does.
   * @param key - The key.
   * @param value - Value, stored as JSON.
   */
  put(key: string, value: unknown): void {
    const expected = this.model.read(key)?.revision ?? 0;
    this.model.write({ key, value: JSON.stringify(value), expected });
  }

  private async _serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const text = Buffer.concat((await req.toArray()) as Buffer[]).toString();
    const { pathname, searchParams } = new URL(req.url ?? "/", "http://store");
    const call = `${req.method ?? ""} ${pathname}`;
    const reply =
      call === "GET /v1/kv-watch"
        ? await this._watch(searchParams, res)
        : this._handle(call, searchParams, text === "" ? {} : (JSON.parse(text) as unknown));
    res.writeHead(reply.status, { "content-type": "application/json" });
    res.end(JSON.stringify(reply.body));
  }

  private _handle(call: string, query: URLSearchParams, body: unknown): Reply {
    switch (call) {
      case "GET /v1/kv-key":
        return this._read(query.get("key") ?? "");
      case "GET /v1/kv-range":
        return this._range(query.get("prefix") ?? "", query.get("after") ?? "");
      case "POST /v1/kv-txn":
        return this._transact(body as Txn);
      case "POST /v1/kv-lease":
        return this._grant((body as { readonly ttl_ms: number }).ttl_ms);
      default:
        return this._callLease(call);
    }
  }

  private _read(key: string): Reply {
    const entry = this.model.read(key);
    const body = { ...(entry && toItem(entry)), as_of: this.model.revision };
    return { status: entry === undefined ? 404 : 200, body };
  }

  private _range(prefix: string, after: string): Reply {
    const { entries, revision } = this.model.list(prefix);
    const rest = entries.filter(({ key }) => key > after);
    const items = rest.slice(0, PAGE_ITEMS).map(toItem);
    return { status: 200, body: { items, has_more: rest.length > PAGE_ITEMS, as_of: revision } };
  }

  private async _watch(query: URLSearchParams, res: ServerResponse): Promise<Reply> {
    const result = await new Promise<ModelWatchResult>((resolve) => {
      const after = Number(query.get("after"));
      const pending = this.model.watch(query.get("prefix") ?? "", after, resolve);
      const timer = this._clock.after(Number(query.get("wait_ms")), () => {
        pending.finish();
      });
      res.on("close", () => {
        timer.cancel();
        pending.finish();
      });
    });
    if (result.kind === "compacted") {
      return { status: 410, body: {} };
    }
    const events = result.changes.map(({ key, value, revision }) =>
      value === undefined ? { key, revision, tombstone: true } : toItem({ key, value, revision }),
    );
    return { status: 200, body: { as_of: result.revision, events } };
  }

  private _transact({ precondition, puts, remove }: Txn): Reply {
    const values = puts.map(({ value }) => Buffer.from(value, "base64"));
    if (values.some(({ length }) => length > VALUE_BYTES)) {
      this.refusedValues += 1;
      return { status: 400, body: { error: "value: too large" } };
    }
    if (precondition.length + puts.length + remove.length > 2 * MAX_ENTRIES) {
      return { status: 400, body: { error: "too many entries" } };
    }
    const leases = puts.map(({ lease }) => this._leases.get(lease));
    const result = this.model.transact({
      checks: precondition.map(({ key, revision }) => ({ key, expected: revision })),
      writes: puts.map(({ key }, index) => {
        const lease = leases[index];
        const expected = this.model.read(key)?.revision ?? 0;
        const write = { key, value: values[index]?.toString() ?? "", expected };
        return lease === undefined ? write : { ...write, lease };
      }),
    });
    if (result.kind === "lease-lost" || puts.some(({ lease }) => lease > 0 && !this._has(lease))) {
      return { status: 404, body: {} };
    }
    if (result.kind === "conflict") {
      return { status: 412, body: { items: result.current.map(toItem) } };
    }
    remove.forEach((key) => this.model.remove(key, this.model.read(key)?.revision ?? 0));
    return { status: 200, body: { revision: result.revision } };
  }

  private _has(lease: number): boolean {
    return this._leases.has(lease);
  }

  private _grant(ttlMs: number): Reply {
    const id = this._leases.size + 1;
    this._leases.set(id, this.model.grantLease(ttlMs));
    return { status: 200, body: { lease: id, ttl_ms: ttlMs } };
  }

  private _callLease(call: string): Reply {
    const lease = this._leases.get(Number(call.split("/").at(-1))) ?? "";
    const isFound = call.startsWith("POST")
      ? this.model.renewLease(lease)
      : this.model.revokeLease(lease);
    return { status: isFound ? 200 : 404, body: {} };
  }
}

function toItem({ key, value, revision }: StoreEntry): object {
  const encoded = Buffer.from(value, "utf8").toString("base64");
  return { key, value: encoded, revision, created: revision, lease: 0 };
}
