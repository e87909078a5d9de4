import test from "ava";
import { create } from "@bufbuild/protobuf";
import { Code, ConnectError } from "@connectrpc/connect";
import { TaskVerdictSchema } from "../../../../src/protocol/generated/fireflylb/v1/control_pb.ts";
import { ManualClock } from "../../../support/ManualClock.ts";
import {
  createReportReply,
  LEASE_MS,
  TASK_SIZE,
  VM_CAPACITY,
  TaskServiceHarness,
} from "../../../support/TaskServiceHarness.ts";

function createVerdict(overrides: { recorded?: boolean; stop?: boolean }) {
  return create(TaskVerdictSchema, { task: "t", attempt: 1, ...overrides });
}

async function getErrorCode(call: Promise<unknown>): Promise<Code | undefined> {
  try {
    await call;
    return undefined;
  } catch (err) {
    return ConnectError.from(err).code;
  }
}

test("TaskService refuses starts and stops until the worker has reported its tasks", async (t) => {
  const harness = new TaskServiceHarness();
  harness.worker.hold("report");
  harness.service.start();
  await harness.clock.advance(3_000);
  t.is((await harness.startTask()).refusal, "agent-not-ready");
  t.is(await getErrorCode(harness.stopTask()), Code.Unavailable);
  harness.worker.release("report");
  await harness.clock.advance(3_000);
  t.true((await harness.startTask({ attempt: 2 })).accepted);
});

test("TaskService accepts a start only after the worker has accepted it", async (t) => {
  const harness = await new TaskServiceHarness().startUntilReady();
  harness.worker.hold("start");
  const reply = harness.startTask();
  await ManualClock.settle();
  t.is(harness.service.getTasks()[0]?.phase, "starting");
  t.deepEqual(harness.service.getCommitted(), TASK_SIZE);
  harness.worker.release("start");
  t.true((await reply).accepted);
  t.is(harness.service.getTasks()[0]?.phase, "running");
});

test("TaskService accepts a repeated start of a running task", async (t) => {
  const harness = await new TaskServiceHarness().startUntilReady();
  t.true((await harness.startTask()).accepted);
  t.true((await harness.startTask()).accepted);
  t.is(harness.worker.journal.length, 1);
});

test("TaskService frees the capacity of a task that the worker certainly did not start", async (t) => {
  const harness = await new TaskServiceHarness().startUntilReady();
  const failure = { kind: "refused", mayHaveActed: false, detail: "no" } as const;
  harness.worker.failNext("start", false, failure);
  t.is((await harness.startTask()).refusal, "worker-refused");
  t.is(harness.service.getCommitted().processorsMilli, 0);
  t.is((await harness.startTask()).refusal, "stale-attempt");
});

test("TaskService reserves the capacity of a start with unknown outcome until its stop is confirmed", async (t) => {
  const harness = await new TaskServiceHarness().startUntilReady();
  harness.worker.failNext("start", true);
  harness.worker.failNext("stop", false);
  t.is(await getErrorCode(harness.startTask()), Code.Unknown);
  t.deepEqual(harness.worker.getRunning(), ["t#1"]);
  t.deepEqual(harness.service.getCommitted(), TASK_SIZE);
  await harness.clock.advance(600);
  t.deepEqual(harness.worker.getRunning(), []);
  t.is(harness.service.getCommitted().processorsMilli, 0);
});

test("TaskService stops a task with a checkpoint and reports it until the owner has recorded it", async (t) => {
  const harness = await new TaskServiceHarness().startUntilReady();
  await harness.startTask();
  await harness.clock.advance(600);
  const reply = await harness.stopTask({ checkpoint: true });
  t.true(reply.stopped);
  t.regex(reply.checkpoint, /^checkpoint-t-1/);
  harness.reports.length = 0;
  await harness.clock.advance(1_100);
  t.deepEqual(
    harness.reports.map((req) => req.tasks.map((task) => task.phase)),
    [["stopped"], ["stopped"]],
  );
  harness.replyToReport = () =>
    Promise.resolve(createReportReply({ verdicts: [createVerdict({ recorded: true })] }));
  await harness.clock.advance(1_100);
  t.deepEqual(harness.service.getTasks(), []);
  t.is(harness.worker.getTask("t", 1), undefined);
});

test("TaskService replies to a stop with the state of a task that had completed before", async (t) => {
  const harness = await new TaskServiceHarness().startUntilReady();
  await harness.startTask();
  harness.worker.finish("t", 1, "completed");
  const reply = await harness.stopTask();
  t.true(reply.stopped);
  t.is(reply.state?.phase, "completed");
});

test("TaskService confirms no stop that the worker did not confirm", async (t) => {
  const harness = await new TaskServiceHarness().startUntilReady();
  await harness.startTask();
  harness.worker.failNext("stop", false);
  t.false((await harness.stopTask()).stopped);
  t.true((await harness.stopTask()).stopped);
});

test("TaskService refuses the start of an attempt whose stop arrived first", async (t) => {
  const harness = await new TaskServiceHarness().startUntilReady();
  t.true((await harness.stopTask()).stopped);
  t.is((await harness.startTask()).refusal, "stale-attempt");
});

test("TaskService refuses requests of a superseded owner", async (t) => {
  const harness = await new TaskServiceHarness().startUntilReady();
  t.true((await harness.startTask({ epoch: 2n })).accepted);
  t.is(await getErrorCode(harness.stopTask({ epoch: 1n })), Code.FailedPrecondition);
  t.is((await harness.startTask({ task: "u", epoch: 1n })).refusal, "stale-epoch");
});

test("TaskService counts a lease from the time at which the report was sent", async (t) => {
  const harness = await new TaskServiceHarness().startUntilReady();
  await harness.startTask();
  let sendReply: () => void = () => undefined;
  let sentAt = 0;
  harness.replyToReport = () => {
    sentAt = harness.clock.now();
    return new Promise((resolve) => {
      sendReply = () => {
        resolve(createReportReply());
      };
    });
  };
  await harness.clock.advance(600);
  await harness.clock.advance(1_000);
  sendReply();
  await ManualClock.settle();
  t.true(sentAt < harness.clock.now() - 1_000);
  t.is(harness.service.getTasks()[0]?.leaseUntil, sentAt + LEASE_MS);
});

test("TaskService stops a task when its lease expires because its owner is unreachable", async (t) => {
  const harness = await new TaskServiceHarness().startUntilReady();
  harness.replyToReport = () => Promise.reject(new Error("the connection was lost"));
  const startedAt = harness.clock.now();
  await harness.startTask();
  await harness.clock.advance(LEASE_MS + 600);
  t.deepEqual(harness.worker.getRunning(), []);
  const stopped = harness.worker.journal.find((line) => line.event === "stopped");
  t.true((stopped?.at ?? Infinity) <= startedAt + LEASE_MS);
  t.is(harness.service.getTasks()[0]?.phase, "stopped");
});

test("TaskService keeps a task running while its owner responds", async (t) => {
  const harness = await new TaskServiceHarness().startUntilReady();
  await harness.startTask();
  await harness.clock.advance(4 * LEASE_MS);
  t.deepEqual(harness.worker.getRunning(), ["t#1"]);
  t.true(harness.reports.length <= 4 * 4);
});

test("TaskService does not extend a lease that expired while the agent was paused", async (t) => {
  const harness = await new TaskServiceHarness().startUntilReady();
  await harness.startTask();
  let sendReply: () => void = () => undefined;
  harness.replyToReport = () =>
    new Promise((resolve) => {
      sendReply = () => {
        resolve(createReportReply({ leaseMs: 60_000 }));
      };
    });
  await harness.clock.advance(600);
  harness.clock.pause(LEASE_MS + 1_000);
  sendReply();
  await ManualClock.settle();
  await harness.clock.advance(600);
  t.is(harness.service.getTasks()[0]?.phase, "stopped");
});

test("TaskService ignores a lease granted by a process that does not own the partition", async (t) => {
  const harness = await new TaskServiceHarness().startUntilReady();
  harness.replyToReport = () =>
    Promise.resolve(createReportReply({ notOwner: true, leaseMs: 60_000 }));
  await harness.startTask();
  await harness.clock.advance(LEASE_MS + 600);
  t.is(harness.service.getTasks()[0]?.phase, "stopped");
});

test("TaskService stops a task that its owner does not know", async (t) => {
  const harness = await new TaskServiceHarness().startUntilReady();
  await harness.startTask();
  harness.replyToReport = () =>
    Promise.resolve(createReportReply({ verdicts: [createVerdict({ stop: true })] }));
  await harness.clock.advance(1_600);
  t.deepEqual(harness.worker.getRunning(), []);
});

test("TaskService adopts the worker's tasks after a restart and does not overcommit the VM", async (t) => {
  const harness = await new TaskServiceHarness().startUntilReady();
  const size = { ...TASK_SIZE, processorsMilli: 3_000 };
  await harness.startTask({ resources: size });
  harness.service = harness.createService("i2");
  await harness.startUntilReady();
  t.deepEqual(harness.service.getCommitted(), size);
  const overrides = { task: "u", incarnation: "i2" };
  t.is((await harness.startTask({ ...overrides, resources: size })).refusal, "no-room");
  t.is(
    (await harness.startTask({ task: "t", attempt: 2, incarnation: "i2" })).refusal,
    "earlier-attempt-present",
  );
  t.is((await harness.startTask({ task: "v" })).refusal, "wrong-incarnation");
});

test("TaskService stops tasks with a checkpoint to free capacity for a backend server", async (t) => {
  const harness = await new TaskServiceHarness().startUntilReady();
  await harness.startTask();
  t.is(
    harness.service.reserveServer("s", "svc", { ...TASK_SIZE, processorsMilli: 4_000 }),
    "pending",
  );
  await harness.clock.advance(1_100);
  t.is(harness.service.getTasks()[0]?.phase, "stopped");
  t.regex(harness.service.getTasks()[0]?.checkpoint ?? "", /^checkpoint/);
  t.is(
    harness.service.reserveServer("s", "svc", { ...TASK_SIZE, processorsMilli: 4_000 }),
    "granted",
  );
});

test("TaskService stops a task that outgrows its declared size if it no longer fits", async (t) => {
  const harness = await new TaskServiceHarness().startUntilReady();
  await harness.startTask();
  await harness.startTask({ task: "u", resources: { ...TASK_SIZE, memoryBytes: 2_000 } });
  harness.worker.update("t", 1, { used: { ...TASK_SIZE, memoryBytes: 1_900 } });
  await harness.clock.advance(600);
  t.is(harness.service.getCommitted().memoryBytes, 3_900);
  harness.worker.update("t", 1, { used: { ...TASK_SIZE, memoryBytes: 2_100 } });
  await harness.clock.advance(1_100);
  t.deepEqual(harness.worker.getRunning(), ["u#1"]);
});

test("TaskService marks a task as stopped that the worker no longer lists", async (t) => {
  const harness = await new TaskServiceHarness().startUntilReady();
  await harness.startTask();
  await harness.clock.advance(600);
  harness.worker.dropTask("t", 1);
  await harness.clock.advance(1_100);
  t.is(harness.service.getTasks()[0]?.phase, "stopped");
  t.is(harness.service.getCommitted().processorsMilli, 0);
});

test("TaskService drains with checkpoints and waits until the owner has recorded the ends", async (t) => {
  const harness = await new TaskServiceHarness().startUntilReady();
  await harness.startTask();
  let ended = false;
  const drained = harness.service.stop().then(() => {
    ended = true;
  });
  await harness.clock.advance(2_000);
  t.false(ended);
  t.is((await harness.startTask({ task: "u" })).refusal, "draining");
  t.is(harness.service.getTasks()[0]?.phase, "stopped");
  harness.replyToReport = () =>
    Promise.resolve(createReportReply({ verdicts: [createVerdict({ recorded: true })] }));
  await harness.clock.advance(2_000);
  await drained;
  t.true(ended);
  t.is(harness.clock.pendingTimers, 0);
});

test("TaskService admits no start until those of an earlier incarnation have reached the worker", async (t) => {
  const harness = await new TaskServiceHarness().startUntilReady();
  harness.worker.hold("start");
  const lost = harness.startTask({ resources: VM_CAPACITY });
  await ManualClock.settle();
  harness.service = harness.createService("i2");
  harness.service.start();
  await harness.clock.advance(600);
  const early = await harness.startTask({ task: "u", incarnation: "i2" });
  t.is(early.refusal, "agent-not-ready");
  harness.worker.release("start");
  await lost;
  await harness.clock.advance(1_000);
  t.is((await harness.startTask({ task: "v", incarnation: "i2" })).refusal, "no-room");
});

test("TaskService corrects the worker's lease after a delayed renewal call", async (t) => {
  const harness = await new TaskServiceHarness().startUntilReady();
  await harness.startTask();
  harness.worker.hold("renew");
  await harness.clock.advance(600);
  harness.replyToReport = () => Promise.reject(new Error("the connection was lost"));
  const granted = harness.service.getTasks()[0]?.leaseUntil ?? 0;
  await harness.clock.advance(2_000);
  harness.worker.release("renew");
  await harness.clock.advance(600);
  t.true((harness.worker.getTask("t", 1)?.leaseUntil ?? Infinity) <= granted);
});
