/**
 * Tests of which replacements of a worker count as a crash, and of the runs that are reported.
 */
import test from "ava";
import { CrashDetector } from "../../../src/coordination/pool/CrashDetector.ts";
import type { WorkerRuns } from "../../../src/protocol/platform/PoolWorker.ts";
import { ManualClock } from "../../support/ManualClock.ts";
import { MemoryLog } from "../../support/MemoryLog.ts";
import { createAnnouncement, createEndedRun } from "../../support/poolFixtures.ts";

const NO_RUNS: WorkerRuns = {
  ...{ clockMs: 0, startedAtMs: 1, running: [], ended: [], mayLackEnds: false },
};
const ANNOUNCEMENT = createAnnouncement();

function createDetector(): { readonly detector: CrashDetector; readonly clock: ManualClock } {
  const clock = new ManualClock();
  const log = new MemoryLog();
  return { clock, detector: new CrashDetector({ clock, log, getNextVersion: () => 2 }) };
}

test("CrashDetector reports how long the runs on a worker had been started when it crashed", async (t) => {
  const { detector, clock } = createDetector();
  detector.recordStart({ task: "a", run: 1 });
  await clock.advance(500);
  detector.recordStart({ task: "b", run: 2 });
  detector.recordStart({ task: "c", run: 1 });
  detector.recordRefusal({ task: "c", run: 1 });
  await clock.advance(20);
  detector.recordSilence();
  await clock.advance(3_000);
  detector.recordSilence();
  detector.replaceWorker(ANNOUNCEMENT);
  const runs = [
    { task: "a", run: 1, elapsedMs: 520 },
    { task: "b", run: 2, elapsedMs: 20 },
  ];
  t.deepEqual(detector.getLaterThan(1), [{ worker: "i-1@1", runs }]);
  t.deepEqual(detector.getLaterThan(2), []);
});

test("CrashDetector does not report runs that had ended", async (t) => {
  const { detector, clock } = createDetector();
  detector.recordStart({ task: "a", run: 1 });
  await clock.advance(500);
  detector.recordLists({ ...NO_RUNS, ended: [{ ...createEndedRun(), task: "a", run: 1 }] });
  detector.recordSilence();
  detector.replaceWorker(ANNOUNCEMENT);
  t.deepEqual(detector.getLaterThan(0), []);
});

// Guards against tasks that are blamed for workers that did not crash under them.
test("CrashDetector reports no crash of a worker that drained, or that responded until it was replaced", (t) => {
  const { detector } = createDetector();
  detector.recordStart({ task: "a", run: 1 });
  detector.recordSilence();
  detector.replaceWorker({ ...ANNOUNCEMENT, draining: true });
  detector.recordStart({ task: "a", run: 2 });
  detector.recordSilence();
  detector.recordLists(NO_RUNS);
  detector.replaceWorker(ANNOUNCEMENT);
  t.deepEqual(detector.getLaterThan(0), []);
});
