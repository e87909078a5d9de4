/**
 * Tests of the bounds up to which a task may run under leases of a former or a present owner.
 */
import test from "ava";
import { getJobId, getTaskId } from "../../../src/state/batch/BatchIds.ts";
import { MemoryStore } from "../../../standins/store/MemoryStore.ts";
import { CFG, createPartition, createSpec, TAKEOVER_MS } from "./createPartition.ts";

/** Time between two reports of an agent, in milliseconds. */
const REPORT_INTERVAL_MS = 1_000;

// Guards against a previous owner that finds its own repeated write in the log after the takeover,
// takes that for a proof of its ownership, and grants leases beyond the takeover horizon.
test("PartitionOwner grants no leases after a repeated write shows only that its first attempt was executed", async (t) => {
  const { clock, store, agents, takeOver, submit, start } = createPartition();
  const first = await takeOver();
  const id = await submit(first, createSpec("a"));
  const task = getTaskId(id, 0);
  await start(first, task, "vm-0");
  store.faults.lostAnswers = 1;
  const other = createSpec("b");
  void first.submissions.submit(getJobId(other.tenant, other.key, CFG.partitions), other);
  while (store.faults.lostAnswers > 0) {
    await clock.advance(1);
  }
  store.startOutage();
  const second = await takeOver(true, new MemoryStore(clock, store.model));
  const takenOverAt = clock.now();
  // The agent is connected to the previous owner only, which may grant leases up to its horizon.
  while (clock.now() < takenOverAt + TAKEOVER_MS) {
    if (clock.now() >= takenOverAt + CFG.takeoverHorizonMs + REPORT_INTERVAL_MS) {
      store.endOutage();
    }
    await clock.advance(REPORT_INTERVAL_MS);
    agents.report("vm-0", first);
  }
  await clock.advance(1_000);
  second.tick();
  await clock.advance(CFG.commitIntervalMs);
  t.is(second.ledger.getTask(task)?.phase, "waiting");
  await start(second, task, "vm-1");
  t.deepEqual(agents.violations, []);
});

// Guards against a report on an earlier attempt that replaces the bound of the current attempt's lease.
test("PartitionOwner does not count the lease of an attempt from a report on an earlier one", async (t) => {
  const { clock, agents, takeOver, submit, start } = createPartition();
  const first = await takeOver();
  const task = getTaskId(await submit(first, createSpec("a")), 0);
  await start(first, task, "vm-0");
  agents.getFaults("vm-0").isOffline = true;
  await clock.advance(CFG.taskLeaseMs + 1_000);
  first.tick();
  await clock.advance(CFG.commitIntervalMs);
  await start(first, task, "vm-1");
  const second = await takeOver();
  // The agent of the first attempt is back and cannot stop it yet, as its worker does not respond.
  agents.getFaults("vm-0").isOffline = false;
  const stopping = {
    task,
    attempt: 1,
    phase: "checkpointing",
    checkpoint: "",
    reason: "",
  } as const;
  second.handleReport("vm-0", [stopping], true);
  // The other agent is connected to the previous owner only, which may grant leases.
  await clock.advance(CFG.taskLeaseMs / 2);
  agents.report("vm-1", first);
  await clock.advance(CFG.taskLeaseMs / 2 + 1_000);
  second.tick();
  await clock.advance(CFG.commitIntervalMs);
  await start(second, task, "vm-0");
  t.deepEqual(agents.violations, []);
  t.is(second.getActiveTask(task)?.state, "unconfirmed");
});

// Guards against a report on an earlier attempt that keeps a task waiting for a VM that is gone.
test("PartitionOwner releases a task of an unresponsive VM while another VM reports an earlier attempt", async (t) => {
  const { clock, agents, takeOver, submit, start } = createPartition();
  const owner = await takeOver();
  const task = getTaskId(await submit(owner, createSpec("a")), 0);
  await start(owner, task, "vm-0");
  agents.getFaults("vm-0").isOffline = true;
  await clock.advance(CFG.taskLeaseMs + 1_000);
  owner.tick();
  await clock.advance(CFG.commitIntervalMs);
  await start(owner, task, "vm-1");
  agents.getFaults("vm-1").isPaused = true;
  await clock.advance(CFG.taskLeaseMs - 1_000);
  const stopping = {
    task,
    attempt: 1,
    phase: "checkpointing",
    checkpoint: "",
    reason: "",
  } as const;
  t.deepEqual(owner.handleReport("vm-0", [stopping], true).verdicts, [
    { task, attempt: 1, recorded: false, stop: true },
  ]);
  await clock.advance(2_000);
  owner.tick();
  await clock.advance(CFG.commitIntervalMs);
  t.is(owner.ledger.getTask(task)?.phase, "waiting");
});
