/**
 * Tests of the worker stand-in's state.
 */
import test from "ava";
import { Journal } from "../../../standins/support/Journal.ts";
import { WorkerModel } from "../../../standins/worker/WorkerModel.ts";
import type { WorkerEvent } from "../../../standins/worker/WorkerJournal.ts";
import type { WorkerLease, WorkerStart } from "../../../src/protocol/platform/Worker.ts";
import { ManualClock } from "../../support/ManualClock.ts";

/** Creates a lease that ends at a time on the worker's clock. */
function createLease(untilMs: number): WorkerLease {
  return { untilMs, maxDurationMs: 60_000 };
}

const RESOURCES = { processorsMilli: 1_000, memoryBytes: 1_000, accelerators: 0 };

const ORDER: WorkerStart = {
  task: "t",
  attempt: 1,
  partition: 3,
  epoch: 7,
  ownerAddress: "127.0.0.1:1",
  resources: RESOURCES,
  command: "run 1000",
  checkpoint: "",
  lease: createLease(60_000),
  kind: "transcode",
  tenant: "academy",
};

interface Fixture {
  readonly clock: ManualClock;
  readonly worker: WorkerModel;
  readonly journal: Journal<WorkerEvent>;
}

function createFixture(): Fixture {
  const clock = new ManualClock();
  const journal = new Journal<WorkerEvent>();
  const worker = new WorkerModel(
    clock,
    {
      vm: "vm1",
      capacity: { processorsMilli: 4_000, memoryBytes: 4_000, accelerators: 0 },
      usageLagMs: 1_000,
      onCrash: () => undefined,
    },
    journal,
  );
  return { clock, worker, journal };
}

test("WorkerModel runs a task until it completes", async (t) => {
  const { clock, worker } = createFixture();
  t.true(worker.start(ORDER).isOk());
  await clock.advance(500);
  t.like(worker.report().tasks[0], { phase: "running", progress: 0.5 });
  await clock.advance(500);
  t.like(worker.report().tasks[0], { phase: "completed", progress: 1 });
  t.true(worker.forget("t", 1).isOk());
  t.deepEqual(worker.report().tasks, []);
});

test("WorkerModel never does a step after the lease has expired, even when it was paused", async (t) => {
  const { clock, worker, journal } = createFixture();
  worker.start({ ...ORDER, lease: createLease(400) });
  await clock.advance(200);
  t.true(worker.renew("t", 1, createLease(600)).isOk());
  await clock.advance(300);
  clock.pause(200);
  await clock.advance(1_000);
  t.like(worker.report().tasks[0], { phase: "stopped", reason: "the lease expired" });
  const steps = journal.entries.filter((entry) => entry.event === "step");
  t.true(steps.length > 0 && steps.every((entry) => entry.at < 600));
  t.true(worker.renew("t", 1, createLease(600)).isErr());
});

// Guards against a task that goes on after a pause past its lease, when its owner has started it
// elsewhere: a renewal that had arrived before is executed before the next step.
test("WorkerModel ends a task whose renewal it executes after a pause past the renewed lease", async (t) => {
  const { clock, worker, journal } = createFixture();
  worker.start({ ...ORDER, lease: createLease(400) });
  await clock.advance(200);
  const renewed = { untilMs: 600, maxDurationMs: 400 };
  clock.pause(1_000);
  const pausedUntil = clock.now();
  worker.renew("t", 1, renewed);
  await clock.advance(500);
  t.like(worker.report().tasks[0], { phase: "stopped", reason: "the lease expired" });
  const steps = journal.entries.filter(({ event }) => event === "step");
  t.true(steps.every(({ at }) => at < pausedUntil));
});

test("WorkerModel ends a lease at its time or its longest duration, whichever comes first", async (t) => {
  const { clock, worker } = createFixture();
  worker.start({ ...ORDER, lease: { untilMs: 60_000, maxDurationMs: 300 } });
  t.true(worker.renew("t", 1, createLease(100)).isOk(), "a lease never becomes shorter");
  await clock.advance(250);
  t.like(worker.report().tasks[0], { phase: "running" });
  await clock.advance(100);
  t.like(worker.report().tasks[0], { phase: "stopped", reason: "the lease expired" });
});

test("WorkerModel resumes a task only from its own checkpoints", async (t) => {
  const { clock, worker } = createFixture();
  worker.start(ORDER);
  await clock.advance(400);
  const checkpoint = worker.checkpoint("t", 1)._unsafeUnwrap();
  t.like(worker.stop("t", 1), { phase: "stopped", checkpoint });
  t.true(worker.start({ ...ORDER, task: "u", checkpoint }).isErr());
  t.true(worker.start({ ...ORDER, attempt: 2, checkpoint }).isOk());
  t.like(worker.report().tasks[1], { attempt: 2, progress: 0.4 });
  await clock.advance(600);
  t.is(worker.report().tasks[1]?.phase, "completed");
});

test("WorkerModel refuses earlier attempts, older epochs and a second running attempt", (t) => {
  const { worker } = createFixture();
  t.is(worker.stop("t", 1), undefined);
  t.true(worker.start(ORDER).isErr());
  t.true(worker.start({ ...ORDER, attempt: 2 }).isOk());
  t.true(worker.start({ ...ORDER, attempt: 3 }).isErr());
  t.true(worker.start({ ...ORDER, task: "u", epoch: 6 }).isErr());
  t.true(worker.start({ ...ORDER, task: "u", epoch: 6, partition: 4 }).isOk());
  worker.stop("t", 2);
  t.true(worker.forget("t", 2).isOk());
  t.true(worker.start({ ...ORDER, attempt: 2 }).isErr());
});

test("WorkerModel slows a throttled task and reports usage with a delay", async (t) => {
  const { clock, worker } = createFixture();
  worker.start({ ...ORDER, command: "run 2000 processors=3000" });
  worker.throttle("t", 1, 50);
  await clock.advance(900);
  t.is(worker.report().used.processorsMilli, 0);
  await clock.advance(700);
  t.like(worker.report().tasks[0], { progress: 0.4, throttlePercent: 50 });
  t.is(worker.report().used.processorsMilli, 1_500);
  t.is(worker.report().tasks[0]?.used.processorsMilli, 1_500);
});

test("WorkerModel records committed resources without enforcing the capacity", (t) => {
  const { worker, journal } = createFixture();
  [1, 2, 3, 4, 5].forEach((index) => {
    t.true(worker.start({ ...ORDER, task: `t${index}` }).isOk());
  });
  const starts = journal.entries.filter((entry) => entry.event === "start");
  t.is(starts.at(-1)?.committed.processorsMilli, 5_000);
});

test("WorkerModel fails tasks whose command fails, and all tasks when failEverything is set", async (t) => {
  const { clock, worker } = createFixture();
  worker.start({ ...ORDER, command: "fail-after 100" });
  await clock.advance(75);
  t.is(worker.report().tasks[0]?.phase, "running");
  await clock.advance(25);
  t.is(worker.report().tasks[0]?.phase, "failed");
  worker.conditions.failEverything = true;
  worker.start({ ...ORDER, task: "u" });
  await clock.advance(25);
  t.is(worker.report().tasks[1]?.phase, "failed");
});
