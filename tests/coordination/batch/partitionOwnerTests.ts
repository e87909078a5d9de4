import test from "ava";
import { getJobId, getTaskId } from "../../../src/state/batch/BatchIds.ts";
import { CFG, createPartition, createSpec, TAKEOVER_MS } from "./createPartition.ts";

test("PartitionOwner runs a job from submission to completion", async (t) => {
  const { clock, agents, takeOver, submit, start } = createPartition();
  const owner = await takeOver();
  const id = await submit(owner, createSpec("a", { tasks: 2 }));
  await start(owner, getTaskId(id, 0), "vm-0");
  await start(owner, getTaskId(id, 1), "vm-1");
  t.is(agents.getRunning().length, 2);
  agents.getRunning().forEach((run) => {
    agents.finish(run, "completed");
  });
  agents.names.forEach((name) => {
    agents.report(name, owner);
  });
  await clock.advance(CFG.commitIntervalMs);
  t.true(owner.ledger.isFinished(id));
  t.deepEqual(
    owner.ledger.getJob(id)?.tasks.map((task) => task.phase),
    ["completed", "completed"],
  );
});

test("PartitionOwner returns the same job for a repeated submission and a conflict for a different body", async (t) => {
  const { clock, takeOver, submit } = createPartition();
  const owner = await takeOver();
  const spec = createSpec("a");
  const id = await submit(owner, spec);
  t.deepEqual(await owner.submissions.submit(id, spec), { kind: "accepted", known: true });
  const other = await owner.submissions.submit(id, createSpec("a", { command: "other" }));
  t.deepEqual(other, { kind: "conflict" });
  const next = await takeOver();
  t.deepEqual(await next.submissions.submit(id, spec), { kind: "accepted", known: true });
  await clock.advance(0);
  t.is(next.ledger.jobCount, 1);
});

test("PartitionOwner sends no start order whose record is not in the log", async (t) => {
  const { clock, store, agents, takeOver, submit, sendHeartbeats } = createPartition();
  const owner = await takeOver();
  const id = await submit(owner, createSpec("a"));
  sendHeartbeats();
  store.startOutage();
  const started = owner.runner.start(getTaskId(id, 0), "vm-0");
  await clock.advance(5_000);
  t.false(await started);
  t.is(agents.history.length, 0);
});

test("PartitionOwner resumes an evicted task from its checkpoint in the next attempt only", async (t) => {
  const { clock, agents, takeOver, submit, start } = createPartition();
  const owner = await takeOver();
  const id = await submit(owner, createSpec("a"));
  const task = getTaskId(id, 0);
  await start(owner, task, "vm-0");
  owner.runner.evict(task, "heat");
  await clock.advance(CFG.commitIntervalMs);
  t.is(owner.ledger.getTask(task)?.phase, "waiting");
  await start(owner, task, "vm-1");
  t.deepEqual(
    agents.history.map(({ agent, attempt, startCheckpoint: from }) => ({ agent, attempt, from })),
    [
      { agent: "vm-0", attempt: 1, from: "" },
      { agent: "vm-1", attempt: 2, from: `${task}#1` },
    ],
  );
  t.is(agents.getRunning().length, 1);
});

test("PartitionOwner sends a stop order after the response to a start order was lost", async (t) => {
  const { clock, agents, takeOver, submit, start } = createPartition();
  const owner = await takeOver();
  const id = await submit(owner, createSpec("a"));
  const task = getTaskId(id, 0);
  agents.getFaults("vm-0").lostReplies = 1;
  await start(owner, task, "vm-0");
  await clock.advance(CFG.commitIntervalMs);
  t.is(owner.ledger.getTask(task)?.phase, "waiting");
  await start(owner, task, "vm-1");
  t.deepEqual(
    agents.getRunning().map((run) => run.agent),
    ["vm-1"],
  );
  t.deepEqual(agents.violations, []);
});

test("PartitionOwner keeps an attempt whose agent was disconnected with the response to its start order", async (t) => {
  const { clock, agents, takeOver, submit, start } = createPartition();
  const owner = await takeOver();
  const id = await submit(owner, createSpec("a"));
  const task = getTaskId(id, 0);
  const faults = agents.getFaults("vm-0");
  faults.lostReplies = 1;
  faults.disconnectsWithLostReply = true;
  await start(owner, task, "vm-0");
  await clock.advance(3_000);
  faults.isOffline = false;
  agents.report("vm-0", owner);
  owner.tick();
  await clock.advance(CFG.commitIntervalMs);
  t.is(owner.getActiveTask(task)?.state, "running");
  t.is(agents.history.length, 1);
  t.is(agents.getRunning().length, 1);
});

test("PartitionOwner releases a task of an unresponsive VM only when its lease has certainly expired", async (t) => {
  const { clock, agents, takeOver, submit, start } = createPartition();
  const owner = await takeOver();
  const id = await submit(owner, createSpec("a"));
  const task = getTaskId(id, 0);
  await start(owner, task, "vm-0");
  agents.getFaults("vm-0").isPaused = true;
  await clock.advance(CFG.taskLeaseMs - CFG.commitIntervalMs);
  owner.tick();
  t.is(owner.getActiveTask(task)?.state, "running");
  await clock.advance(1_000);
  owner.tick();
  await clock.advance(CFG.commitIntervalMs);
  t.is(owner.ledger.getTask(task)?.phase, "waiting");
  t.is(agents.getRunning().length, 0);
});

test("PartitionOwner waits for the whole takeover horizon before it releases tasks of a previous owner", async (t) => {
  const { clock, agents, takeOver, submit, start } = createPartition();
  const first = await takeOver();
  const id = await submit(first, createSpec("a"));
  const task = getTaskId(id, 0);
  await start(first, task, "vm-0");
  const second = await takeOver();
  // The previous owner does not know yet that it was superseded and continues to grant leases.
  await clock.advance(CFG.taskLeaseMs / 2);
  agents.report("vm-0", first);
  await clock.advance(CFG.taskLeaseMs - 1_000);
  second.tick();
  t.is(second.getActiveTask(task)?.state, "unconfirmed");
  t.is(agents.getRunning().length, 1);
  await clock.advance(TAKEOVER_MS);
  second.tick();
  await clock.advance(CFG.commitIntervalMs);
  t.is(second.ledger.getTask(task)?.phase, "waiting");
});

test("PartitionOwner releases no task of a previous owner before its own owner key is written", async (t) => {
  const { clock, takeOver, submit, start } = createPartition();
  const first = await takeOver();
  const id = await submit(first, createSpec("a"));
  const task = getTaskId(id, 0);
  await start(first, task, "vm-0");
  const second = await takeOver(false);
  await clock.advance(2 * TAKEOVER_MS);
  second.tick();
  t.is(second.getActiveTask(task)?.state, "unconfirmed");
  second.recordClaim();
  await clock.advance(TAKEOVER_MS);
  second.tick();
  t.is(second.getActiveTask(task)?.state, "unconfirmed");
  await clock.advance(TAKEOVER_MS);
  second.tick();
  await clock.advance(CFG.commitIntervalMs);
  t.is(second.ledger.getTask(task)?.phase, "waiting");
});

test("PartitionOwner does not treat its own lease grant as the last one before the agent knows its epoch", async (t) => {
  const { clock, agents, takeOver, submit, start } = createPartition();
  const first = await takeOver();
  const id = await submit(first, createSpec("a"));
  const task = getTaskId(id, 0);
  await start(first, task, "vm-0");
  const second = await takeOver();
  // The agent never receives the new owner's grant and accepts a later one of the previous owner.
  agents.report("vm-0", second, true);
  await clock.advance(CFG.taskLeaseMs / 2);
  agents.report("vm-0", first);
  await clock.advance(CFG.taskLeaseMs - 1_000);
  second.tick();
  await clock.advance(CFG.commitIntervalMs);
  t.is(agents.getRunning().length, 1);
  t.is(second.ledger.getTask(task)?.phase, "held");
});

test("PartitionOwner sends a stop order before it releases a task that is missing from delayed reports", async (t) => {
  const { clock, agents, takeOver, submit, start } = createPartition();
  const owner = await takeOver();
  const id = await submit(owner, createSpec("a"));
  const task = getTaskId(id, 0);
  const delayedReports = [agents.composeReport("vm-0", owner), agents.composeReport("vm-0", owner)];
  await start(owner, task, "vm-0");
  agents.getFaults("vm-0").isOffline = true;
  delayedReports.forEach((deliver) => {
    deliver(false);
  });
  owner.tick();
  await clock.advance(CFG.commitIntervalMs);
  t.is(agents.getRunning().length, 1);
  t.is(owner.ledger.getTask(task)?.phase, "held");
});

test("PartitionOwner is superseded at its next record after another owner has taken over", async (t) => {
  const { takeOver, submit } = createPartition();
  const first = await takeOver();
  const second = await takeOver();
  const id = await submit(first, createSpec("a"));
  t.is(first.state, "deposed");
  t.is(second.ledger.getJob(id), undefined);
  t.true(second.epoch > first.epoch);
});

test("PartitionOwner stops the tasks of a cancelled job and never starts them again", async (t) => {
  const { clock, agents, takeOver, submit, start } = createPartition();
  const owner = await takeOver();
  const id = await submit(owner, createSpec("a", { tasks: 3 }));
  await start(owner, getTaskId(id, 0), "vm-0");
  const cancelled = owner.submissions.cancel(id);
  await clock.advance(2 * CFG.commitIntervalMs);
  t.deepEqual(await cancelled, { kind: "accepted" });
  owner.tick();
  await clock.advance(2 * CFG.commitIntervalMs);
  t.is(agents.getRunning().length, 0);
  t.deepEqual(
    owner.ledger.getJob(id)?.tasks.map((task) => task.phase),
    ["cancelled", "cancelled", "cancelled"],
  );
  t.false(await owner.runner.start(getTaskId(id, 1), "vm-1"));
});

test("PartitionOwner combines simultaneous cancellations into one record", async (t) => {
  const { clock, takeOver } = createPartition();
  const owner = await takeOver();
  const keys = Array.from({ length: 1_000 }, (_, index) => `job-${index}`);
  const ids = keys.map((key) => getJobId("t", key, CFG.partitions));
  const submitted = ids.map((id, index) =>
    owner.submissions.submit(id, createSpec(keys[index] ?? "")),
  );
  await clock.advance(CFG.commitIntervalMs);
  await Promise.all(submitted);
  const before = owner.counts;
  const cancelled = ids.map((id) => owner.submissions.cancel(id));
  await clock.advance(CFG.commitIntervalMs);
  await Promise.all(cancelled);
  t.is(owner.counts.records - before.records, 1);
  t.true(ids.every((id) => owner.ledger.isFinished(id)));
});
