/**
 * Tests of what an entry knows about a store that does not respond, from the calls of all its
 * components.
 */
import test from "ava";
import { errAsync, ResultAsync } from "neverthrow";
import { MonitoredStore } from "../../../src/coordination/pool/MonitoredStore.ts";
import { StoreSilenceMonitor } from "../../../src/coordination/pool/StoreSilenceMonitor.ts";
import type {
  StoreChanges,
  StoreEntry,
  StoreFailure,
  WriteResult,
} from "../../../src/protocol/platform/Store.ts";
import { MemoryStore } from "../../../standins/store/MemoryStore.ts";
import { ManualClock } from "../../support/ManualClock.ts";
import { MemoryLog } from "../../support/MemoryLog.ts";

/** Timeout of the store adapter's calls, in milliseconds. */
const TIMEOUT_MS = 1_000;
/** Wait of a watch, in milliseconds. */
const WATCH_WAIT_MS = 2_000;
const WRITE = { key: "key", value: "{}", expected: 0 };

/** Store whose reads and writes time out; its watches do too if it is cut off. */
class SlowStore extends MemoryStore {
  isCutOff = false;
  readCount = 0;
  private readonly _timeoutClock: ManualClock;

  constructor(clock: ManualClock) {
    super(clock);
    this._timeoutClock = clock;
  }

  override read(): ResultAsync<StoreEntry | undefined, StoreFailure> {
    this.readCount += 1;
    return this._timeOut(TIMEOUT_MS);
  }

  override write(): ResultAsync<WriteResult, StoreFailure> {
    return this._timeOut(TIMEOUT_MS);
  }

  override watch(
    prefix: string,
    after: number,
    waitMs = WATCH_WAIT_MS,
  ): ResultAsync<StoreChanges, StoreFailure> {
    return this.isCutOff ? this._timeOut(waitMs + TIMEOUT_MS) : super.watch(prefix, after, waitMs);
  }

  private _timeOut(timeoutMs: number): ResultAsync<never, StoreFailure> {
    const failure: StoreFailure = { kind: "timeout", mayHaveWritten: true, detail: "no response" };
    const waited = ResultAsync.fromSafePromise(this._timeoutClock.sleep(timeoutMs));
    return waited.andThen(() => errAsync(failure));
  }
}

function createSetup() {
  const clock = new ManualClock();
  const store = new SlowStore(clock);
  const monitor = new StoreSilenceMonitor({ store, clock, log: new MemoryLog() });
  return { clock, store, monitor, monitored: new MonitoredStore(store, monitor) };
}

// Guards against the first submission after a quiet time that is sent to a store known to be silent.
test("StoreSilenceMonitor learns from a watch that the store does not respond", async (t) => {
  const { clock, store, monitor, monitored } = createSetup();
  store.isCutOff = true;
  void monitored.watch("prefix/", 0, WATCH_WAIT_MS);
  await clock.advance(WATCH_WAIT_MS + TIMEOUT_MS - 1);
  t.false(monitor.isSilent);
  await clock.advance(1);
  t.true(monitor.isSilent);
});

// Guards against refusals while a slow store answers watches, which may wait longer than writes.
test("StoreSilenceMonitor does not take a store for silent that has answered another call meanwhile", async (t) => {
  const { clock, store, monitor, monitored } = createSetup();
  void monitored.write(WRITE);
  void monitored.watch("prefix/", 0, TIMEOUT_MS / 2);
  await clock.advance(TIMEOUT_MS);
  t.false(monitor.isSilent);
  t.is(store.readCount, 0);
});

// Guards against a silence that lasts although other components are answered.
test("StoreSilenceMonitor ends the silence with any answered call", async (t) => {
  const { clock, store, monitor, monitored } = createSetup();
  void monitored.write(WRITE);
  await clock.advance(TIMEOUT_MS);
  t.true(monitor.isSilent);
  void monitored.watch("prefix/", 0, 1);
  await clock.advance(1);
  t.false(monitor.isSilent);
  const probes = store.readCount;
  await clock.advance(TIMEOUT_MS / 2);
  t.is(store.readCount, probes);
});

// Guards against probes that keep a process from ending.
test("StoreSilenceMonitor sends no probes after it is stopped", async (t) => {
  const { clock, store, monitor, monitored } = createSetup();
  void monitored.write(WRITE);
  await clock.advance(TIMEOUT_MS);
  t.is(store.readCount, 1);
  monitor.stop();
  await clock.advance(2 * TIMEOUT_MS);
  t.is(store.readCount, 1);
  t.is(clock.pendingTimers, 0);
});
