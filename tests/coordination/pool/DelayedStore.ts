/**
 * Connection of a simulated entry to the store over a network with delays: a write may be carried out
 * after its call has timed out.
 */
import { errAsync, ResultAsync, type Result } from "neverthrow";
import type {
  StoreEntry,
  StoreFailure,
  StorePage,
  StoreTransaction,
  StoreWrite,
  TransactionResult,
  WriteResult,
} from "../../../src/protocol/platform/Store.ts";
import { MemoryStore } from "../../../standins/store/MemoryStore.ts";
import type { StoreModel } from "../../../standins/store/StoreModel.ts";
import type { FreezableClock } from "./FreezableClock.ts";
import type { SimulatedNetwork } from "./SimulatedNetwork.ts";

const TIMEOUT_MS = 500;

/** Connection of one entry. */
export class DelayedStore extends MemoryStore {
  private readonly _entryClock: FreezableClock;
  private readonly _entry: string;
  private readonly _network: SimulatedNetwork;

  /**
   * Creates a connection.
   * @param clock - Clock of the entry.
   * @param model - State of the store.
   * @param entry - Name of the entry.
   * @param network - Network between both.
   */
  constructor(clock: FreezableClock, model: StoreModel, entry: string, network: SimulatedNetwork) {
    super(clock, model);
    this._entryClock = clock;
    this._entry = entry;
    this._network = network;
  }

  override read(key: string): ResultAsync<StoreEntry | undefined, StoreFailure> {
    return this._delay(() => super.read(key));
  }

  override listPage(prefix: string, after: string): ResultAsync<StorePage, StoreFailure> {
    return this._delay(() => super.listPage(prefix, after));
  }

  override write(write: StoreWrite): ResultAsync<WriteResult, StoreFailure> {
    return this._delay(() => super.write(write));
  }

  override transact(transaction: StoreTransaction): ResultAsync<TransactionResult, StoreFailure> {
    return this._delay(() => super.transact(transaction));
  }

  override remove(key: string, expected: number): ResultAsync<WriteResult, StoreFailure> {
    return this._delay(() => super.remove(key, expected));
  }

  override grantLease(ttlMs: number): ResultAsync<string, StoreFailure> {
    return this._delay(() => super.grantLease(ttlMs));
  }

  override renewLease(lease: string): ResultAsync<void, StoreFailure> {
    return this._delay(() => super.renewLease(lease));
  }

  override revokeLease(lease: string): ResultAsync<void, StoreFailure> {
    return this._delay(() => super.revokeLease(lease));
  }

  private _delay<T>(call: () => ResultAsync<T, StoreFailure>): ResultAsync<T, StoreFailure> {
    return new ResultAsync(this._race(call));
  }

  private async _race<T>(
    call: () => ResultAsync<T, StoreFailure>,
  ): Promise<Result<T, StoreFailure>> {
    const timedOut: StoreFailure = { kind: "timeout", mayHaveWritten: true, detail: "timeout" };
    const timeout = this._entryClock.sleep(TIMEOUT_MS).then(() => errAsync(timedOut));
    const outcome = await Promise.race([this._carryOut(call), timeout]);
    await this._entryClock.whenRunning();
    return outcome;
  }

  private async _carryOut<T>(
    call: () => ResultAsync<T, StoreFailure>,
  ): Promise<Result<T, StoreFailure>> {
    const { outage: wasOut } = this.faults;
    await this._network.transfer("store", [this._entry]);
    // A call that was sent before an outage of this connection still arrives.
    const { outage } = this.faults;
    this.faults.outage = wasOut;
    const pending = call();
    this.faults.outage = outage;
    const outcome = await pending;
    await this._network.transfer("store-reply", [this._entry]);
    return outcome;
  }
}
