/**
 * Stand-in for the users' store: their protocol over the state of the store stand-in. Calls can be
 * refused, or executed without a response.
 */
import { z } from "zod";
import type { StoreEntry, StoreTransaction } from "../../src/protocol/platform/Store.ts";
import { SystemClock } from "../../src/transport/platform/SystemClock.ts";
import {
  createReply,
  JsonServer,
  type JsonReply,
  type JsonRequest,
} from "../support/JsonServer.ts";
import { StoreModel, type ModelWatchResult } from "../store/StoreModel.ts";

const Txn = z.object({
  precondition: z.array(z.object({ key: z.string(), revision: z.number() })),
  puts: z.array(z.object({ key: z.string(), value: z.string(), lease: z.number() })),
  remove: z.array(z.string()),
});
const LeaseCall = z.object({ ttl_ms: z.number() });
const ROWS_PER_PAGE = 3;

/** Faults of the store; each can be changed at any time. */
export interface KvFaults {
  /** Status with which every call is refused; 0 for none. */
  refuseStatus: number;
  /** Number of further transactions that are executed and get no response. */
  lostAnswers: number;
}

/** Store with the users' protocol. */
export class KvServer {
  readonly faults: KvFaults = { refuseStatus: 0, lostAnswers: 0 };
  readonly model: StoreModel;
  private readonly _clock = new SystemClock();
  private readonly _server: JsonServer;
  private readonly _leases = new Map<number, string>();

  /**
   * Creates a store that does not listen yet.
   * @param address - Address to listen on, as "host:port".
   */
  constructor(address: string) {
    this.model = new StoreModel(this._clock);
    this._server = new JsonServer(address, (req) => this._serve(req));
  }

  /** Starts listening. */
  async start(): Promise<void> {
    await this._server.start();
  }

  /** Stops listening and closes all connections. */
  async stop(): Promise<void> {
    this.model.finishWatches();
    await this._server.stop();
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

  private async _serve(req: JsonRequest): Promise<JsonReply> {
    if (this.faults.refuseStatus > 0) {
      return createReply({}, this.faults.refuseStatus);
    }
    const { method, path, query } = req;
    switch (`${method} ${path}`) {
      case "GET /v1/kv-key":
        return this._read(query.get("key") ?? "");
      case "GET /v1/kv-range":
        return this._range(query.get("prefix") ?? "", query.get("after") ?? "");
      case "GET /v1/kv-watch":
        return this._watch(req);
      case "POST /v1/kv-txn":
        return this._transact(req);
      case "POST /v1/kv-lease":
        return this._grant(LeaseCall.parse(req.body).ttl_ms);
      default:
        return this._callLease(method, path);
    }
  }

  private _read(key: string): JsonReply {
    const entry = this.model.read(key);
    return entry === undefined ? createReply({}, 404) : createReply(this._toItem(entry));
  }

  private _range(prefix: string, after: string): JsonReply {
    const { entries, revision } = this.model.list(prefix);
    const rest = entries.filter(({ key }) => key > after);
    const items = rest.slice(0, ROWS_PER_PAGE).map((entry) => this._toItem(entry));
    return createReply({ items, has_more: rest.length > ROWS_PER_PAGE, as_of: revision });
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
    return this._createWatchReply(result);
  }

  private _createWatchReply(result: ModelWatchResult): JsonReply {
    if (result.kind === "compacted") {
      return createReply({}, 410);
    }
    const events = result.changes.map(({ key, value, revision }) =>
      value === undefined
        ? { key, revision, tombstone: true }
        : this._toItem({ key, value, revision }),
    );
    return createReply({ as_of: result.revision, events });
  }

  private _transact(req: JsonRequest): JsonReply {
    const { precondition, puts, remove } = Txn.parse(req.body);
    const checks = precondition.map(({ key, revision }) => ({ key, expected: revision }));
    const leases = puts.map(({ lease }) => (lease === 0 ? undefined : this._leases.get(lease)));
    if (puts.some(({ lease }, position) => lease !== 0 && leases[position] === undefined)) {
      return createReply({}, 404);
    }
    const transaction: StoreTransaction = {
      checks,
      writes: puts.map(({ key, value }, position) => {
        const lease = leases[position];
        const text = Buffer.from(value, "base64").toString("utf8");
        const expected = this.model.read(key)?.revision ?? 0;
        return { key, value: text, expected, ...(lease === undefined ? {} : { lease }) };
      }),
    };
    const result = this.model.transact(transaction);
    if (result.kind === "written") {
      remove.forEach((key) => this.model.remove(key, this.model.read(key)?.revision ?? 0));
    }
    if (this.faults.lostAnswers > 0) {
      this.faults.lostAnswers -= 1;
      return { kind: "hang" };
    }
    switch (result.kind) {
      case "written":
        return createReply({ revision: result.revision });
      case "conflict":
        return createReply({ items: result.current.map((entry) => this._toItem(entry)) }, 412);
      case "lease-lost":
        return createReply({}, 404);
    }
  }

  private _grant(ttlMs: number): JsonReply {
    const id = this._leases.size + 1;
    this._leases.set(id, this.model.grantLease(ttlMs));
    return createReply({ lease: id, ttl_ms: ttlMs });
  }

  private _callLease(method: string, path: string): JsonReply {
    const id = Number(path.split("/").at(-1));
    const lease = this._leases.get(id) ?? "";
    const isFound =
      method === "POST" ? this.model.renewLease(lease) : this.model.revokeLease(lease);
    return isFound ? createReply({ ttl_ms: 0 }) : createReply({}, 404);
  }

  private _toItem({ key, value, revision }: StoreEntry): object {
    const encoded = Buffer.from(value, "utf8").toString("base64");
    return { key, value: encoded, revision, created: revision, lease: 0 };
  }
}
