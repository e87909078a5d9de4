/**
 * The store stand-in as a process: serves store calls as JSON over HTTP on one address, and faults
 * and call rates on another.
 */
import { z } from "zod";
import type { Clock } from "../../src/protocol/platform/Clock.ts";
import type { StoreWrite } from "../../src/protocol/platform/Store.ts";
import { SeededRandom } from "../../tests/support/SeededRandom.ts";
import { createReply, JsonServer } from "../support/JsonServer.ts";
import type { JsonReply, JsonRequest } from "../support/JsonServer.ts";
import { CallRateCounter } from "./CallRateCounter.ts";
import type { CallKind } from "./CallRateCounter.ts";
import { NO_STORE_FAULTS, StoreFaultsChange } from "./StoreFaults.ts";
import type { StoreFaults } from "./StoreFaults.ts";
import { MAX_VALUE_BYTES, StoreModel } from "./StoreModel.ts";
import type { ModelWatchResult } from "./StoreModel.ts";

const KeyCall = z.object({ key: z.string() });
const PrefixCall = z.object({ prefix: z.string() });
const WriteCall = z.object({
  key: z.string(),
  value: z.string(),
  expected: z.number(),
  lease: z.string().optional(),
});
const TransactCall = z.object({
  checks: z.array(z.object({ key: z.string(), expected: z.number() })),
  writes: z.array(WriteCall),
});
const RemoveCall = z.object({ key: z.string(), expected: z.number() });
const WatchCall = z.object({ prefix: z.string(), after: z.number(), waitMs: z.number() });
const GrantCall = z.object({ ttlMs: z.number() });
const LeaseCall = z.object({ lease: z.string() });

interface Operation {
  readonly kind: CallKind;
  readonly run: (req: JsonRequest) => Promise<JsonReply> | JsonReply;
}

const LEASE_LOST = createReply({ error: "lease-lost" }, 409);

/** Store stand-in that serves JSON over HTTP. */
export class StoreProcess {
  private readonly _clock: Clock;
  private readonly _model: StoreModel;
  private readonly _rates: CallRateCounter;
  private readonly _calls: JsonServer;
  private readonly _control: JsonServer;
  private readonly _operations: Readonly<Record<string, Operation>>;
  private _faults = NO_STORE_FAULTS;
  private _random = new SeededRandom(NO_STORE_FAULTS.seed);

  /**
   * Creates a store that does not listen yet.
   * @param clock - Clock of leases and delays.
   * @param listen - Address for store calls, as "host:port".
   * @param control - Address for faults and call rates, as "host:port".
   */
  constructor(clock: Clock, listen: string, control: string) {
    this._clock = clock;
    this._model = new StoreModel(clock);
    this._rates = new CallRateCounter(clock);
    this._operations = this._createOperations();
    this._calls = new JsonServer(listen, (req) => this._handleCall(req));
    this._control = new JsonServer(control, (req) => this._handleControl(req));
  }

  /** Starts listening on both addresses. */
  async start(): Promise<void> {
    await this._calls.start();
    await this._control.start();
  }

  /** Stops listening and closes all connections. */
  async stop(): Promise<void> {
    await this._calls.stop();
    await this._control.stop();
  }

  private async _handleCall(req: JsonRequest): Promise<JsonReply> {
    const operation = this._operations[`${req.method} ${req.path}`];
    if (operation === undefined) {
      return createReply({ error: "unknown-operation" }, 404);
    }
    if (this._faults.outage !== "none") {
      return { kind: this._faults.outage === "hang" ? "hang" : "cut" };
    }
    const calls = this._rates.count(operation.kind, req.path);
    if (this._exceeds(operation.kind, calls)) {
      return createReply({ error: "rate-limited" }, 429);
    }
    return this._perform(operation, req);
  }

  private async _perform(operation: Operation, req: JsonRequest): Promise<JsonReply> {
    await this._delay(this._faults.delayMs);
    if (operation.kind === "write" && this._consumeLoss("lostRequests")) {
      return { kind: this._faults.lostAs };
    }
    const reply = await operation.run(req);
    if (operation.kind === "write" && this._isReplyLost()) {
      return { kind: this._faults.lostAs };
    }
    await this._delay(this._faults.answerDelayMs);
    return reply;
  }

  private async _delay(delayMs: number): Promise<void> {
    if (delayMs > 0) {
      await this._clock.sleep(delayMs);
    }
  }

  private _exceeds(kind: CallKind, calls: number): boolean {
    const limit = kind === "read" ? this._faults.readsPerSecond : this._faults.writesPerSecond;
    return limit > 0 && calls > limit;
  }

  private _isReplyLost(): boolean {
    return this._consumeLoss("lostAnswers") || this._random.next() < this._faults.lostAnswerShare;
  }

  private _consumeLoss(counter: "lostAnswers" | "lostRequests"): boolean {
    if (this._faults[counter] === 0) {
      return false;
    }
    this._faults = { ...this._faults, [counter]: this._faults[counter] - 1 };
    return true;
  }

  private _createOperations(): Readonly<Record<string, Operation>> {
    return {
      "POST /v1/read": { kind: "read", run: (req) => this._read(req) },
      "POST /v1/list": { kind: "read", run: (req) => this._list(req) },
      "POST /v1/watch": { kind: "read", run: (req) => this._watch(req) },
      "POST /v1/write": { kind: "write", run: (req) => this._write(req) },
      "POST /v1/transact": { kind: "write", run: (req) => this._transact(req) },
      "POST /v1/remove": { kind: "write", run: (req) => this._remove(req) },
      "POST /v1/lease/grant": { kind: "write", run: (req) => this._grant(req) },
      "POST /v1/lease/renew": { kind: "write", run: (req) => this._renew(req) },
      "POST /v1/lease/revoke": { kind: "write", run: (req) => this._revoke(req) },
    };
  }

  private _read(req: JsonRequest): JsonReply {
    return createReply({ entry: this._model.read(KeyCall.parse(req.body).key) ?? null });
  }

  private _list(req: JsonRequest): JsonReply {
    return createReply(this._model.list(PrefixCall.parse(req.body).prefix));
  }

  private async _watch(req: JsonRequest): Promise<JsonReply> {
    const call = WatchCall.parse(req.body);
    const result = await new Promise<ModelWatchResult>((resolve) => {
      const pending = this._model.watch(call.prefix, call.after, resolve);
      const timer = this._clock.after(call.waitMs, () => {
        pending.finish();
      });
      req.disconnected.addEventListener("abort", () => {
        timer.cancel();
        pending.finish();
      });
    });
    return result.kind === "compacted"
      ? createReply({ error: "compacted" }, 410)
      : createReply(result);
  }

  private _write(req: JsonRequest): JsonReply {
    const call = WriteCall.parse(req.body);
    if (Buffer.byteLength(call.value) > MAX_VALUE_BYTES) {
      return createReply({ error: "value-too-large" }, 413);
    }
    const result = this._model.write(toStoreWrite(call));
    return result.kind === "lease-lost" ? LEASE_LOST : createReply(result);
  }

  private _transact(req: JsonRequest): JsonReply {
    const { checks, writes } = TransactCall.parse(req.body);
    if (writes.some(({ value }) => Buffer.byteLength(value) > MAX_VALUE_BYTES)) {
      return createReply({ error: "value-too-large" }, 413);
    }
    const result = this._model.transact({ checks, writes: writes.map(toStoreWrite) });
    return result.kind === "lease-lost" ? LEASE_LOST : createReply(result);
  }

  private _remove(req: JsonRequest): JsonReply {
    const call = RemoveCall.parse(req.body);
    return createReply(this._model.remove(call.key, call.expected));
  }

  private _grant(req: JsonRequest): JsonReply {
    return createReply({ lease: this._model.grantLease(GrantCall.parse(req.body).ttlMs) });
  }

  private _renew(req: JsonRequest): JsonReply {
    return this._model.renewLease(LeaseCall.parse(req.body).lease) ? createReply({}) : LEASE_LOST;
  }

  private _revoke(req: JsonRequest): JsonReply {
    return this._model.revokeLease(LeaseCall.parse(req.body).lease) ? createReply({}) : LEASE_LOST;
  }

  private async _handleControl(req: JsonRequest): Promise<JsonReply> {
    switch (`${req.method} ${req.path}`) {
      case "GET /health":
        return createReply({ ready: true });
      case "PUT /faults":
        return createReply(await this._setFaults(StoreFaultsChange.parse(req.body)));
      case "GET /rates":
        return createReply({ ...this._rates.report(), waitingWatches: this._model.waitingWatches });
      case "POST /rates/reset":
        this._rates.reset();
        return createReply({});
      case "POST /compact":
        this._model.compact();
        return createReply({});
      case "GET /keys":
        return createReply(this._model.list(req.query.get("prefix") ?? ""));
      default:
        return createReply({ error: "unknown-operation" }, 404);
    }
  }

  private async _setFaults(change: z.infer<typeof StoreFaultsChange>): Promise<StoreFaults> {
    this._faults = { ...this._faults, ...change };
    if (change.seed !== undefined) {
      this._random = new SeededRandom(change.seed);
    }
    if (this._faults.outage === "refuse") {
      await this._calls.stop();
    } else {
      await this._calls.start();
    }
    if (change.outage !== undefined) {
      this._calls.cutConnections();
    }
    return this._faults;
  }
}

function toStoreWrite(call: z.infer<typeof WriteCall>): StoreWrite {
  const { lease, ...write } = call;
  return lease === undefined ? write : { ...write, lease };
}
