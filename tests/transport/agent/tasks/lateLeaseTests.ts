/**
 * Tests of leases in calls that the worker executes late, after the agent has crashed: the task may
 * run no longer than its owner has granted, since the owner then starts it elsewhere.
 */
import test from "ava";
import type { WorkerLease } from "../../../../src/protocol/platform/Worker.ts";
import type { WorkerCall } from "../../../support/FakeWorker.ts";
import { ManualClock } from "../../../support/ManualClock.ts";
import { LEASE_MS, TaskServiceHarness } from "../../../support/TaskServiceHarness.ts";

/** Time by which the worker executes a call late, in milliseconds. */
const DELAY_MS = 3_000;

/** Lets no further call of the agent reach the worker, as after a crash of the agent. */
function crash({ worker }: TaskServiceHarness, ...calls: readonly WorkerCall[]): void {
  calls.forEach((call) => {
    worker.hold(call);
  });
}

// Guards against a late start that runs for the whole lease from when it is executed.
test("TaskService gives the worker no lease in a late start that ends after the granted one", async (t) => {
  const harness = await new TaskServiceHarness().startUntilReady();
  crash(harness, "start", "stop", "report", "renew");
  const sentAt = harness.clock.now();
  void harness.startTask();
  await ManualClock.settle();
  await harness.clock.advance(DELAY_MS);
  harness.worker.release("start");
  await ManualClock.settle();
  await harness.clock.advance(sentAt + LEASE_MS - harness.clock.now());
  t.deepEqual(harness.worker.getRunning(), []);
});

// Guards against a late renewal that is executed after a newer one.
test("TaskService gives the worker no lease in a late renewal that ends after the granted one", async (t) => {
  const harness = await new TaskServiceHarness().startUntilReady();
  await harness.startTask();
  const sent: WorkerLease[] = [];
  const renew = harness.worker.renew.bind(harness.worker);
  harness.worker.renew = (task, attempt, lease) => {
    sent.push(lease);
    return renew(task, attempt, lease);
  };
  harness.worker.failNext("renew", false);
  await harness.clock.advance(1_600);
  t.true(sent.length >= 2);
  const granted = harness.service.getTasks()[0]?.leaseUntil ?? 0;
  crash(harness, "stop", "report");
  harness.worker.renew = renew;
  harness.replyToReport = () => Promise.reject(new Error("the agent has crashed"));
  await harness.clock.advance(DELAY_MS);
  const [lease] = sent;
  if (lease === undefined) {
    t.fail("no renewal was sent");
    return;
  }
  await renew("t", 1, lease);
  await harness.clock.advance(granted - harness.clock.now());
  t.deepEqual(harness.worker.getRunning(), []);
});
