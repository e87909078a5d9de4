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
