/**
 * Tests of the conversion between the messages of agents and the types of the scheduler.
 */
import test from "ava";
import { readObserveReply, writeObserveReply } from "../../../src/transport/pool/agentMessages.ts";
import { createEndedRun, createWorkerReport } from "../../support/poolFixtures.ts";

// Guards against a property of a report that does not reach the scheduler.
test("readObserveReply returns the report that was written", (t) => {
  const running = { task: "1.0.0.1", run: 2, checkpoint: "c", percent: 41, measure: 3 };
  const worker = createWorkerReport({
    ...{ draining: true, drainRemainingMs: 5, readingAgeMs: 7, mayLackEnds: true },
    running: [running],
    ended: [createEndedRun()],
  });
  const {
    process,
    version,
    worker: read,
  } = readObserveReply(writeObserveReply({ process: "p", version: 3, worker }));
  t.deepEqual([process, version], ["p", 3]);
  t.like(read, worker);
});
