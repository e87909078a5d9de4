/**
 * Tests in virtual time of what the lists of a worker prove.
 */
import test from "ava";
import { createStep, createWorkerReport } from "../../support/poolFixtures.ts";
import { addJob, createScriptedScheduler, HANDLED_MS } from "./createScriptedScheduler.ts";
import { PoolSimulation } from "./PoolSimulation.ts";

const TASK_COUNT = 4;
/** Time after which all runs of the test end at once, in milliseconds. */
const WORK_MS = 1_000;
const JOB = "0000000000000001";

// Guards against tasks that run again although they are done, because more runs ended at once than
// their worker lists in one response.
test("ReportReconciler retains runs whose ends the worker has not listed yet", async (t) => {
  const simulation = new PoolSimulation();
  const entry = simulation.addEntry("entry-0");
  const { worker } = await simulation.addAgent("agent-0");
  worker.faults.maxListedEnds = 1;
  await simulation.clock.advance(3_000);
  const steps = [createStep({ taskCount: TASK_COUNT, estimateMs: WORK_MS })];
  await simulation.submit(entry, JOB, { payload: "", steps, schedule: undefined }, WORK_MS);
  await simulation.clock.advance(3 * WORK_MS);
  const lost = simulation.log.lines.filter(({ sentence }) => sentence.startsWith("Run is lost"));
  t.deepEqual(lost, []);
  t.is(simulation.journal.length, TASK_COUNT);
  t.deepEqual(simulation.findViolations(), []);
});

// Guards against a run that is never found lost: lists of the process that first listed it did not
// count, as another one had executed its order.
test("ReportReconciler relies on the process that first lists a run", async (t) => {
  const fixture = await createScriptedScheduler();
  const { clock, channel, scheduler, getLostReasons } = fixture;
  channel.orderProcess = "b";
  await addJob(fixture, { longRunning: true });
  const [start = { task: "", run: 0 }] = channel.starts;
  const running = [{ ...start, checkpoint: "", percent: 0, measure: 0 }];
  channel.setReport("a", createWorkerReport({ callNumber: 2, running }));
  await clock.advance(HANDLED_MS);
  t.deepEqual(getLostReasons(), []);
  channel.setReport("a", createWorkerReport({ callNumber: 3 }));
  await clock.advance(HANDLED_MS);
  t.deepEqual(getLostReasons(), ["its worker does not list it (running)"]);
  scheduler.stop();
});
