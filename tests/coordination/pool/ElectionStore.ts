/**
 * Store for tests of elections: calls of chosen kinds get lost, or their responses are held back
 * while other calls go on.
 */
import { errAsync, ResultAsync, type Result } from "neverthrow";
import type { Clock } from "../../../src/protocol/platform/Clock.ts";
import type {
  StoreEntry,
  StoreFailure,
  StoreWrite,
  WriteResult,
} from "../../../src/protocol/platform/Store.ts";
import { MemoryStore } from "../../../standins/store/MemoryStore.ts";
import type { StoreModel } from "../../../standins/store/StoreModel.ts";

/** Timeout of a call, in milliseconds, as the adapters of real stores have it. */
const CALL_TIMEOUT_MS = 1_000;

/** Kind of a call that can have faults. */
export type ElectionCall = "read" | "write" | "renewLease" | "revokeLease";

/** Memory store with lost calls and delayed responses. */
export class ElectionStore extends MemoryStore {
  /** Kinds of calls that have no effect and end by timeout. */
  readonly lost = new Set<ElectionCall>();
  /** Number of calls by kind, lost ones included. */
  readonly calls: Record<ElectionCall, number> = {
    read: 0,
    write: 0,
    renewLease: 0,
    revokeLease: 0,
  };
  /** Most renewals that were in progress at the same time. */
  mostRenewals = 0;
  private readonly _timeoutClock: Clock;
  private readonly _held = new Map<ElectionCall, Promise<void>>();
  private _renewals = 0;

  /**
   * Creates a store.
   * @param clock - Clock of leases, delays and timeouts.
   * @param model - State, which other stores can share.
   */
  constructor(clock: Clock, model: StoreModel) {
    super(clock, model);
    this._timeoutClock = clock;
  }

  /**
   * Holds back the responses to calls of a kind until `release`; the calls take effect.
   * @param call - Kind of the calls.
   * @returns Function that delivers the responses that were held back, and ends the fault.
   */
  hold(call: ElectionCall): () => void {
    const { promise, resolve } = Promise.withResolvers<undefined>();
    this._held.set(call, promise);
    return () => {
      this._held.delete(call);
      resolve(undefined);
    };
  }

  /**
   * Lets further calls of a kind get their responses; those that are held back stay so.
   * @param call - Kind of the calls.
   */
  release(call: ElectionCall): void {
    this._held.delete(call);
  }

  override read(key: string): ResultAsync<StoreEntry | undefined, StoreFailure> {
    return this._call("read", () => super.read(key));
  }

  override write(write: StoreWrite): ResultAsync<WriteResult, StoreFailure> {
    return this._call("write", () => super.write(write));
  }

  override renewLease(lease: string): ResultAsync<void, StoreFailure> {
    this._renewals += 1;
    this.mostRenewals = Math.max(this.mostRenewals, this._renewals);
    const settle = (): void => {
      this._renewals -= 1;
    };
    return this._call("renewLease", () => super.renewLease(lease))
      .andTee(settle)
      .orTee(settle);
  }

  override revokeLease(lease: string): ResultAsync<void, StoreFailure> {
    return this._call("revokeLease", () => super.revokeLease(lease));
  }

  private _call<T>(
    kind: ElectionCall,
    call: () => ResultAsync<T, StoreFailure>,
  ): ResultAsync<T, StoreFailure> {
    this.calls[kind] += 1;
    if (this.lost.has(kind)) {
      const timeout = ResultAsync.fromSafePromise(this._timeoutClock.sleep(CALL_TIMEOUT_MS));
      return timeout.andThen(() => errAsync(createTimeout()));
    }
    const held = this._held.get(kind);
    return held === undefined ? call() : new ResultAsync(respondAfter(held, call()));
  }
}

function createTimeout(): StoreFailure {
  return { kind: "timeout", mayHaveWritten: true, detail: "the store did not respond in time" };
}

async function respondAfter<T>(
  held: Promise<void>,
  response: ResultAsync<T, StoreFailure>,
): Promise<Result<T, StoreFailure>> {
  const result = await response;
  await held;
  return result;
}
