/**
 * Tests of starts that get no response and that the worker executes late.
 */
import test from "ava";
import { ManualClock } from "../../../support/ManualClock.ts";
import { TaskServiceHarness } from "../../../support/TaskServiceHarness.ts";

// Guards against a task that runs again although its late attempt had completed: the reply to the
// stop told the owner only that the attempt does not run.
test("TaskService replies to a stop with the state of a task that an earlier incarnation started late", async (t) => {
  const harness = await new TaskServiceHarness().startUntilReady();
  harness.worker.hold("start");
  void harness.startTask();
  await ManualClock.settle();
  harness.service = harness.createService("i2");
  await harness.startUntilReady();
  harness.worker.release("start");
  await ManualClock.settle();
  harness.worker.finish("t", 1, "completed");
  const reply = await harness.stopTask();
  t.true(reply.stopped);
  t.is(reply.state?.phase, "completed");
});
