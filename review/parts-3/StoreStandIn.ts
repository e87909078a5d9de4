/**
 * Stand-in for the platform's metadata store: items with revisions, transactions, leases and watches,
 * in memory and without faults.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { JsonServer, type JsonReply, type JsonRequest } from "./jsonHttp.ts";

const HISTORY_EVENTS = 100_000;
const PAGE_ITEMS = 500;
const PAGE_BYTES = 1_000_000;

interface Item {
  readonly key: string;
  readonly value: string;
  readonly revision: number;
  readonly created: number;
  readonly lease: number;
}

interface StoreEvent {
  readonly key: string;
  readonly revision: number;
  readonly item: Item | undefined;
}

interface Transaction {
  readonly precondition?: readonly { readonly key: string; readonly revision: number }[];
  readonly puts?: readonly {
    readonly key: string;
    readonly value: string;
    readonly lease?: number;
  }[];
  readonly remove?: readonly string[];
}

/** Store of one deployment. */
export class StoreStandIn {
  /** Time that each answer takes beyond its handling, in milliseconds. */
  delayMs = 0;
  private readonly _server: JsonServer;
  private readonly _items = new Map<string, Item>();
  private _events: StoreEvent[] = [];
  private readonly _leases = new Map<number, { ttlMs: number; endsAt: number }>();
  private readonly _waiting = new Set<() => void>();
  private _revision = 1;
  private _lastLease = 0;
  private readonly _timer: NodeJS.Timeout;

  /**
   * Creates a store that does not listen yet.
   * @param address - Address as "host:port".
   */
  constructor(address: string) {
    this._server = new JsonServer(address, async (req) => {
      const answer = await this._serve(req);
      await (this.delayMs > 0 ? sleep(this.delayMs) : undefined);
      return answer;
    });
    this._timer = setInterval(() => {
      this._endLeases();
    }, 20);
  }

  /** Starts listening. */
  async start(): Promise<void> {
    await this._server.listen();
  }

  /** Ends the store. */
  async stop(): Promise<void> {
    clearInterval(this._timer);
    await this._server.crash();
  }

  /**
   * Writes a key as the operator does.
   * @param key - The key.
   * @param value - Its value, written as JSON.
   */
  put(key: string, value: unknown): void {
    const text = Buffer.from(JSON.stringify(value)).toString("base64");
    this._commit([{ key, value: text, lease: 0 }], []);
  }

  /**
   * Reads a value as the platform can.
   * @param key - The key.
   */
  read(key: string): string | undefined {
    const item = this._items.get(key);
    return item && Buffer.from(item.value, "base64").toString("utf8");
  }

  private _serve(req: JsonRequest): Promise<JsonReply> | JsonReply {
    const { method, path, query, body } = req;
    const [, , name = "", id = ""] = path.split("/");
    switch (`${method} ${name}`) {
      case "GET kv-key": {
        const item = this._items.get(query.get("key") ?? "");
        return item === undefined ? reply(404) : reply(200, item);
      }
      case "GET kv-range":
        return this._range(query);
      case "GET kv-watch":
        return this._watch(query);
      case "POST kv-txn":
        return this._transact(body as Transaction);
      case "POST kv-lease":
        return this._grant((body as { readonly ttl_ms: number }).ttl_ms);
      case "POST kv-keep":
        return this._renew(Number(id));
      case "DELETE kv-lease-end":
        return this._endLease(Number(id)) ? reply(200) : reply(404);
      default:
        return reply(404);
    }
  }

  private _range(query: URLSearchParams): JsonReply {
    const prefix = query.get("prefix") ?? "";
    const after = query.get("after") ?? "";
    const found = [...this._items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const items = found.slice(0, PAGE_ITEMS).filter(createPageLimit());
    return reply(200, { items, has_more: found.length > items.length, as_of: this._revision });
  }

  private async _watch(query: URLSearchParams): Promise<JsonReply> {
    const prefix = query.get("prefix") ?? "";
    const after = Number(query.get("after"));
    const until = performance.now() + Number(query.get("wait_ms"));
    const oldest = this._events.at(0)?.revision ?? 0;
    if (this._events.length >= HISTORY_EVENTS && after < oldest) {
      return reply(410);
    }
    for (;;) {
      const events = this._events
        .filter(({ key, revision }) => revision > after && key.startsWith(prefix))
        .map(({ key, revision, item }) => item ?? { key, revision, tombstone: true });
      const leftMs = until - performance.now();
      if (events.length > 0 || leftMs <= 0) {
        return reply(200, { events, as_of: this._revision });
      }
      await this._waitForChange(leftMs);
    }
  }

  private async _waitForChange(leftMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const wake = (): void => {
        clearTimeout(timer);
        this._waiting.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, leftMs);
      this._waiting.add(wake);
    });
  }

  private _transact({ precondition = [], puts = [], remove = [] }: Transaction): JsonReply {
    const isMet = precondition.every(
      ({ key, revision }) => (this._items.get(key)?.revision ?? 0) === revision,
    );
    if (!isMet) {
      const items = precondition.map(({ key }) => this._items.get(key) ?? { key, revision: 0 });
      return reply(412, { items });
    }
    if (puts.some(({ lease = 0 }) => lease !== 0 && !this._leases.has(lease))) {
      return reply(404);
    }
    this._commit(
      puts.map(({ lease = 0, ...put }) => ({ ...put, lease })),
      remove,
    );
    return reply(200, { revision: this._revision });
  }

  private _commit(
    puts: readonly { readonly key: string; readonly value: string; readonly lease: number }[],
    remove: readonly string[],
  ): void {
    this._revision += 1;
    const revision = this._revision;
    puts.forEach(({ key, value, lease }) => {
      const created = this._items.get(key)?.created ?? revision;
      const item = { key, value, revision, created, lease };
      this._items.set(key, item);
      this._events.push({ key, revision, item });
    });
    remove
      .filter((key) => this._items.delete(key))
      .forEach((key) => this._events.push({ key, revision, item: undefined }));
    this._events = this._events.slice(-HISTORY_EVENTS);
    [...this._waiting].forEach((wake) => {
      wake();
    });
  }

  private _grant(ttlMs: number): JsonReply {
    this._lastLease += 1;
    this._leases.set(this._lastLease, { ttlMs, endsAt: performance.now() + ttlMs });
    return reply(200, { lease: this._lastLease, ttl_ms: ttlMs });
  }

  private _renew(id: number): JsonReply {
    const lease = this._leases.get(id);
    if (lease === undefined) {
      return reply(404);
    }
    lease.endsAt = performance.now() + lease.ttlMs;
    return reply(200, { lease: id, ttl_ms: lease.ttlMs });
  }

  private _endLease(id: number): boolean {
    const isKnown = this._leases.delete(id);
    const keys = [...this._items.values()].filter(({ lease }) => lease === id);
    if (keys.length > 0) {
      this._commit(
        [],
        keys.map(({ key }) => key),
      );
    }
    return isKnown;
  }

  private _endLeases(): void {
    const now = performance.now();
    [...this._leases]
      .filter(([, { endsAt }]) => endsAt <= now)
      .forEach(([id]) => this._endLease(id));
  }
}

/** Returns whether an item still fits on a page with those before it; the first one always does. */
function createPageLimit(): (item: Item, position: number) => boolean {
  let bytes = 0;
  return ({ value }, position) => {
    bytes += value.length;
    return position === 0 || bytes <= PAGE_BYTES;
  };
}

function reply(status: number, body: unknown = {}): JsonReply {
  return { status, body };
}
