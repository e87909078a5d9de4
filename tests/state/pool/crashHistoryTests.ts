/**
 * Tests of how a task that crashes workers is told from the tasks beside it.
 */
import test from "ava";
import { CrashHistory } from "../../../src/state/pool/CrashHistory.ts";

test("CrashHistory counts crashes at the same time after the start", (t) => {
  const history = new CrashHistory();
  t.is(history.recordCrash(1, 30), "suspected");
  t.is(history.recordCrash(2, 80), "repeated");
  t.is(history.recordCrash(3, 20), "repeated");
  t.is(history.crashes, 3);
  t.is(history.crashedAfterMs, 30);
});

// Guards against counts that grow with each report of the same crash.
test("CrashHistory counts the crash of a run once, also if it is restored", (t) => {
  const history = new CrashHistory();
  history.recordCrash(1, 30);
  t.is(history.recordCrash(1, 30), "known");
  const restored = new CrashHistory();
  restored.restore(history.toRecord());
  t.is(restored.recordCrash(1, 30), "known");
  t.is(restored.recordCrash(2, 30), "repeated");
  t.is(restored.crashes, 2);
});

// Guards against tasks that are given up because others crash their workers again and again.
test("CrashHistory begins anew if a worker crashes later than before", (t) => {
  const history = new CrashHistory();
  history.recordCrash(1, 30);
  t.is(history.recordCrash(2, 3_000), "suspected");
  t.is(history.crashes, 1);
  t.is(history.crashedAfterMs, 3_000);
});

test("CrashHistory ignores a crash that comes earlier than the task would cause it", (t) => {
  const history = new CrashHistory();
  history.recordCrash(1, 3_000);
  t.is(history.recordCrash(2, 30), "innocent");
  t.is(history.recordCrash(3, 3_100), "repeated");
});

test("CrashHistory clears a task that works for longer than before the crash", (t) => {
  const history = new CrashHistory();
  history.recordCrash(1, 300);
  t.false(history.recordWork(400));
  t.is(history.crashes, 1);
  t.true(history.recordWork(600));
  t.is(history.crashes, 0);
  t.is(history.recordCrash(2, 300), "innocent");
  t.is(history.recordCrash(3, 5_000), "suspected");
});

// Guards against a task that is started without end because it resumes from a checkpoint after its
// first crash, or starts on faster workers, so that it crashes the next ones earlier.
test("CrashHistory counts crashes that come earlier than the first one at the same time", (t) => {
  const history = new CrashHistory();
  history.recordCrash(1, 2_000);
  t.is(history.recordCrash(2, 700), "innocent");
  const restored = new CrashHistory();
  restored.restore(history.toRecord());
  t.is(restored.recordCrash(3, 720), "repeated");
  t.is(restored.crashes, 2);
  t.is(restored.crashedAfterMs, 700);
});

test("CrashHistory does not count crashes that come earlier at different times", (t) => {
  const history = new CrashHistory();
  history.recordCrash(1, 5_000);
  t.deepEqual(
    [30, 900, 3_000, 300].map((elapsedMs, position) =>
      history.recordCrash(position + 2, elapsedMs),
    ),
    ["innocent", "innocent", "innocent", "innocent"],
  );
  t.is(history.crashes, 1);
});

// Guards against a third start of a task after three crashes, because the crashes of others cut the
// starts before it short.
test("CrashHistory counts each crash after the third that comes earlier", (t) => {
  const history = new CrashHistory();
  [1, 2, 3].forEach((run) => history.recordCrash(run, 5_000));
  t.is(history.recordCrash(4, 30), "repeated");
  t.is(history.recordCrash(5, 900), "repeated");
  t.is(history.crashes, 5);
  t.is(history.crashedAfterMs, 5_000);
});
