/**
 * Tests of the messages between schedulers and agents.
 */
import { create } from "@bufbuild/protobuf";
import test from "ava";
import type { AgentReport, ObserveCall } from "../../../src/coordination/pool/AgentChannel.ts";
import {
  ObserveReplySchema,
  ObserveRequestSchema,
  OrderReplySchema,
  OrderRequestSchema,
} from "../../../src/protocol/generated/fireflylb/v1/pool_pb.ts";
import {
  readObserveReply,
  readObserveRequest,
  readOrderReply,
  readOrderRequest,
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
    isConfirmed: true,
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

// Guards against an agent of a former version, which says "fenced" where it follows a scheduler of a
// later epoch, and whose scheduler goes on.
test("readOrderReply reads that an agent of a former version follows a later scheduler", (t) => {
  const read = (failure: string): string | undefined =>
    readOrderReply(create(OrderReplySchema, { starts: [{ task: "t", run: 1, failure }] })).starts[0]
      ?.failure;
  t.deepEqual(["fenced", "superseded", "no-room", ""].map(read), [
    "superseded",
    "superseded",
    "no-room",
    undefined,
  ]);
});

/** Numbers that a message can carry and that cannot be a time. */
const ODD_TIMES = [NaN, Infinity, -Infinity, 1e308];

// Guards against one call with an epoch that no store gives, after which the agent took each scheduler
// for deposed, and against a lease whose end is no time, which the worker refused from then on.
test("readObserveRequest and readOrderRequest reject numbers that cannot be right", (t) => {
  const epochs = [2n ** 64n - 1n, 2n ** 53n];
  epochs.forEach((epoch) => {
    t.throws(
      () => readObserveRequest(create(ObserveRequestSchema, { epoch })),
      undefined,
      `${epoch}`,
    );
    t.throws(() => readOrderRequest(create(OrderRequestSchema, { epoch })), undefined, `${epoch}`);
  });
  ODD_TIMES.forEach((leaseUntilMs) => {
    const fields = { epoch: 1n, leaseUntilMs };
    t.throws(
      () => readObserveRequest(create(ObserveRequestSchema, fields)),
      undefined,
      `${leaseUntilMs}`,
    );
    t.throws(
      () => readOrderRequest(create(OrderRequestSchema, fields)),
      undefined,
      `${leaseUntilMs}`,
    );
  });
  const { waitMs } = readObserveRequest(create(ObserveRequestSchema, { waitMs: 2 ** 32 - 1 }));
  t.true(waitMs <= 2_000, `${waitMs} ms`);
});

// Guards against a report with a clock or a capacity that no worker has, which a scheduler believed.
test("readObserveReply rejects numbers that cannot be right", (t) => {
  const odd = [
    ...ODD_TIMES.flatMap((value) => [
      { clockMs: value },
      { drainRemainingMs: value },
      { readingAgeMs: value },
      { running: [{ task: "1.0.0.1", run: 1, checkpoint: "", percent: value, measure: 0 }] },
    ]),
    { processorsMilli: 2n ** 64n - 1n },
    { memoryBytes: 2n ** 64n - 1n },
  ];
  odd.forEach((fields) => {
    const reply = create(ObserveReplySchema, {
      version: 1,
      worker: { worker: "i-1@1", ...fields },
    });
    t.throws(() => readObserveReply(reply), undefined, String(Object.keys(fields)));
  });
});
