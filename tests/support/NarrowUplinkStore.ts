/**
 * Store behind a narrow link: a transaction takes the time that its bytes need on the link, and one
 * that needs more than the timeout of a call never arrives.
 */
import { ResultAsync, errAsync } from "neverthrow";
import type { Clock } from "../../src/protocol/platform/Clock.ts";
import type {
  StoreFailure,
  StoreTransaction,
  TransactionResult,
} from "../../src/protocol/platform/Store.ts";
import { MemoryStore } from "../../standins/store/MemoryStore.ts";
import type { StoreModel } from "../../standins/store/StoreModel.ts";

/** Ratio of a value's size on the wire, where it is base64, to its own. */
const WIRE_BYTES_PER_VALUE_BYTE = 4 / 3;

const REJECTION: StoreFailure = {
  kind: "rejected",
  mayHaveWritten: false,
  detail: "the value exceeds the store's size limit",
};

/** Speed of the link and timeout of a call. */
export interface NarrowUplink {
  readonly bytesPerMs: number;
  readonly timeoutMs: number;
}

/** Memory store whose transactions share a narrow link. */
export class NarrowUplinkStore extends MemoryStore {
  /** Every transaction that was sent, whether or not it arrived. */
  readonly sent: StoreTransaction[] = [];
  /** Keys of each transaction that was executed, in their order. */
  readonly executedKeys: (readonly string[])[] = [];
  /** Key of which every write is rejected, as for a value that is too large; undefined for none. */
  rejectedKey: string | undefined;
  private readonly _link: NarrowUplink;
  private readonly _linkClock: Clock;

  /**
   * Creates a store.
   * @param clock - Clock of leases, watches and transfers.
   * @param link - Speed of the link and timeout of a call.
   * @param model - State, which other stores can share.
   */
  constructor(clock: Clock, link: NarrowUplink, model?: StoreModel) {
    super(clock, model);
    this._linkClock = clock;
    this._link = link;
  }

  override transact(transaction: StoreTransaction): ResultAsync<TransactionResult, StoreFailure> {
    const { bytesPerMs, timeoutMs } = this._link;
    this.sent.push(transaction);
    const transferMs = (getValueBytes(transaction) * WIRE_BYTES_PER_VALUE_BYTE) / bytesPerMs;
    const arrival = this._linkClock.sleep(Math.min(transferMs, timeoutMs));
    return ResultAsync.fromSafePromise(arrival).andThen(() => {
      if (transferMs > timeoutMs) {
        return errAsync(createTimeout());
      }
      return transaction.writes.some(({ key }) => key === this.rejectedKey)
        ? errAsync(REJECTION)
        : super.transact(transaction).map((result) => this._record(transaction, result));
    });
  }

  private _record({ writes }: StoreTransaction, result: TransactionResult): TransactionResult {
    if (result.kind === "written") {
      this.executedKeys.push(writes.map(({ key }) => key));
    }
    return result;
  }
}

/**
 * Gets the size of all values of a transaction, in bytes.
 * @param transaction - The transaction.
 */
export function getValueBytes({ writes }: StoreTransaction): number {
  return writes.reduce((sum, { value }) => sum + Buffer.byteLength(value), 0);
}

function createTimeout(): StoreFailure {
  return { kind: "timeout", mayHaveWritten: true, detail: "the store did not respond in time" };
}
