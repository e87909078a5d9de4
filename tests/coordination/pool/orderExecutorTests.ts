/**
 * Tests of what the execution of start orders tells the detector of crashes.
 */
import test from "ava";
import { errAsync, okAsync, type ResultAsync } from "neverthrow";
import { CrashDetector } from "../../../src/coordination/pool/CrashDetector.ts";
import type { FencingToken } from "../../../src/coordination/pool/FencingToken.ts";
import { OrderExecutor } from "../../../src/coordination/pool/OrderExecutor.ts";
import type { WorkerCallFailure } from "../../../src/protocol/platform/PoolWorker.ts";
import { NO_RESOURCES } from "../../../src/protocol/Resources.ts";
import { createFencingToken } from "../../support/createWorkerAgent.ts";
import { ManualClock } from "../../support/ManualClock.ts";
import { MemoryLog } from "../../support/MemoryLog.ts";
import { createAnnouncement } from "../../support/poolFixtures.ts";
import { SilentWorker } from "../../support/SilentWorker.ts";

const ANNOUNCEMENT = createAnnouncement({ capacity: NO_RESOURCES });
const RUN = { task: "a", run: 1 };
const CALL = {
  ...{ epoch: 1, worker: "i-1@1", leaseUntilMs: 6_000, capacity: NO_RESOURCES },
  ...{ starts: [{ ...RUN, payload: "", checkpoint: "", ticket: "" }], stops: [], paces: [] },
};

/** Worker whose responses to starts are given; the last one is repeated. */
class ScriptedWorker extends SilentWorker {
  failures: readonly (WorkerCallFailure["kind"] | undefined)[] = [];
  private _count = 0;

  override start(): ResultAsync<void, WorkerCallFailure> {
    const failure = this.failures[Math.min(this._count, this.failures.length - 1)];
    this._count += 1;
    return failure === undefined ? okAsync() : errAsync({ kind: failure, detail: "" });
  }
}

interface Fixture {
  readonly executor: OrderExecutor;
  readonly worker: ScriptedWorker;
  readonly detector: CrashDetector;
  readonly fencingToken: FencingToken;
  isResponding: boolean;
  /** Epoch that the agent follows. */
  epoch: number;
}

function createFixture(): Fixture {
  const clock = new ManualClock();
  const worker = new ScriptedWorker(clock);
  const detector = new CrashDetector({ clock, log: new MemoryLog(), getNextVersion: () => 2 });
  const fencingToken = createFencingToken();
  const executor = new OrderExecutor({
    ...{ worker, crashDetector: detector, getWorker: () => ANNOUNCEMENT },
    isResponding: () => fixture.isResponding,
    ...{ fencingToken, getEpoch: () => fixture.epoch },
  });
  const fixture: Fixture = {
    ...{ executor, worker, detector, fencingToken },
    ...{ isResponding: true, epoch: 1 },
  };
  return fixture;
}

function getCrashedRuns({ detector }: Fixture): readonly string[] {
  detector.recordSilence();
  detector.replaceWorker(ANNOUNCEMENT);
  return detector.getLaterThan(0).flatMap(({ runs }) => runs.map(({ task }) => task));
}

// Guards against a task that crashes its workers before they respond to its start and is started
// without end: the repeated order, which the silent worker did not get, made the first one forgotten.
test("OrderExecutor reports the crash of a worker that a start was repeated for while it was silent", async (t) => {
  const fixture = createFixture();
  fixture.worker.failures = ["unknown"];
  await fixture.executor.execute(CALL);
  fixture.isResponding = false;
  const { starts } = await fixture.executor.execute(CALL);
  t.is(starts[0]?.failure, "unhealthy");
  t.deepEqual(getCrashedRuns(fixture), [RUN.task]);
});

// Guards against the same after a start whose result did not reach the scheduler.
test("OrderExecutor reports the crash of a worker that has refused a repeated start", async (t) => {
  const fixture = createFixture();
  fixture.worker.failures = [undefined, "old-run"];
  await fixture.executor.execute(CALL);
  await fixture.executor.execute(CALL);
  t.deepEqual(getCrashedRuns(fixture), [RUN.task]);
});

test("OrderExecutor reports no run of a crashed worker that had refused to start it", async (t) => {
  const fixture = createFixture();
  fixture.worker.failures = ["no-room"];
  await fixture.executor.execute(CALL);
  t.deepEqual(getCrashedRuns(fixture), []);
});
