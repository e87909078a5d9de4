/**
 * Tests of the messages between schedulers and agents.
 */
import test from "ava";
import type { AgentReport, ObserveCall } from "../../../src/coordination/pool/AgentChannel.ts";
import {
  readObserveReply,
  readObserveRequest,
  readOrderReply,
  writeObserveReply,
  writeObserveRequest,
  writeOrderReply,
} from "../../../src/transport/pool/agentMessages.ts";
import { createEndedRun, createWorkerReport } from "../../support/poolFixtures.ts";

// Guards against ends of former incarnations, and the process that sent them, that get lost on the
// way, so that tasks start again although they are done.
test("agentMessages carry the ends of former incarnations and the process of the known report", (t) => {
  const end = { number: 7, task: "task", run: 2, outcome: "done", checkpoint: "c" } as const;
  const report: AgentReport = {
    ...{ process: "p-1", version: 3, worker: undefined },
    formerEnds: [{ worker: "i-1@1", ended: [end] }],
    crashes: [{ worker: "i-1@1", runs: [{ task: "task", run: 3, elapsedMs: 12 }] }],
  };
  t.like(readObserveReply(writeObserveReply(report)), report);
  const withWorker = { ...report, worker: createWorkerReport({ ended: [end] }) };
  t.like(readObserveReply(writeObserveReply(withWorker)), withWorker);
  const call: ObserveCall = {
    ...{ epoch: 1, worker: "i-1@2", leaseUntilMs: undefined, ackedEnd: 4 },
    ...{ knownVersion: 3, knownProcess: "p-1", waitMs: 400 },
  };
  t.deepEqual(readObserveRequest(writeObserveRequest(call)), call);
});

// Guards against a property of a report that does not reach the scheduler.
test("readObserveReply returns the report that was written", (t) => {
  const running = { task: "1.0.0.1", run: 2, checkpoint: "c", percent: 41, measure: 3 };
  const worker = createWorkerReport({
    ...{ draining: true, drainRemainingMs: 5, readingAgeMs: 7, mayLackEnds: true },
    running: [running],
    ended: [createEndedRun()],
  });
  const report = { process: "p", version: 3, worker, formerEnds: [], crashes: [] };
  t.like(readObserveReply(writeObserveReply(report)), report);
});

// Guards against call numbers of one process of an agent that are compared with those of another.
test("agentMessages carry the process that numbers the call after which orders show", (t) => {
  const result = { task: "task", run: 2, failure: "no-room" } as const;
  const report = { process: "p-1", callNumber: 7, starts: [result], stops: [], paces: [] };
  t.deepEqual(readOrderReply(writeOrderReply(report)), report);
});
