import test from "ava";
import {
  AdmissionQueue,
  type AdmissionRequest,
} from "../../../src/coordination/requests/AdmissionQueue.ts";
import { ManualClock } from "../../support/ManualClock.ts";

interface Outcomes {
  readonly admitted: string[];
  readonly refused: string[];
}

function createRequest(
  key: string,
  recorded: Outcomes,
  overrides: Partial<AdmissionRequest> = {},
): AdmissionRequest {
  return {
    key,
    priority: 50,
    queueLimit: 10,
    deadline: 1000,
    admit: () => recorded.admitted.push(key),
    refuse: (refusal) => recorded.refused.push(`${key}:${refusal.code}:${refusal.verdict}`),
    ...overrides,
  };
}

test("AdmissionQueue never admits more requests than there are slots, including external requests", (t) => {
  const recorded: Outcomes = { admitted: [], refused: [] };
  const queue = new AdmissionQueue(new ManualClock(), 3);
  queue.setExternalSlots(1);
  ["a", "b", "c"].forEach((key) => {
    queue.offer(createRequest(key, recorded));
  });
  t.deepEqual(recorded.admitted, ["a", "b"]);
  queue.setExternalSlots(0);
  t.deepEqual(recorded.admitted, ["a", "b", "c"]);
});

test("AdmissionQueue serves classes by priority and requests of one priority in order of arrival", (t) => {
  const recorded: Outcomes = { admitted: [], refused: [] };
  const queue = new AdmissionQueue(new ManualClock(), 2);
  queue.offer(createRequest("first", recorded));
  queue.offer(createRequest("second", recorded));
  queue.offer(createRequest("low", recorded, { priority: 90 }));
  queue.offer(createRequest("high-1", recorded, { priority: 10 }));
  queue.offer(createRequest("high-2", recorded, { priority: 10 }));
  [1, 2, 3].forEach(() => {
    queue.release(1);
  });
  t.deepEqual(recorded.admitted, ["first", "second", "high-1", "high-2", "low"]);
});

test("AdmissionQueue immediately rejects a request if the queue is full or the expected wait exceeds its budget", (t) => {
  const recorded: Outcomes = { admitted: [], refused: [] };
  const queue = new AdmissionQueue(new ManualClock(), 1);
  queue.offer(createRequest("runs", recorded));
  queue.offer(createRequest("full", recorded, { queueLimit: 0 }));
  queue.offer(createRequest("late", recorded, { deadline: 1 }));
  t.deepEqual(recorded.refused, ["full:overloaded:not-run", "late:overloaded:not-run"]);
});

test("AdmissionQueue rejects a queued request as soon as its budget ends", async (t) => {
  const recorded: Outcomes = { admitted: [], refused: [] };
  const clock = new ManualClock();
  const queue = new AdmissionQueue(clock, 1);
  queue.offer(createRequest("runs", recorded));
  queue.offer(createRequest("waits", recorded, { deadline: 100 }));
  await clock.advance(99);
  t.deepEqual(recorded.refused, []);
  await clock.advance(1);
  t.deepEqual(recorded.refused, ["waits:deadline-exceeded:not-run"]);
});

test("AdmissionQueue does not admit a request after a process pause longer than its budget", (t) => {
  const recorded: Outcomes = { admitted: [], refused: [] };
  const clock = new ManualClock();
  const queue = new AdmissionQueue(clock, 1);
  queue.offer(createRequest("runs", recorded));
  queue.offer(createRequest("waits", recorded, { deadline: 100 }));
  clock.pause(200);
  queue.release(200);
  t.deepEqual(recorded.admitted, ["runs"]);
  t.deepEqual(recorded.refused, ["waits:deadline-exceeded:not-run"]);
});

test("AdmissionQueue rejects queued and new requests while draining; running ones continue", (t) => {
  const recorded: Outcomes = { admitted: [], refused: [] };
  const queue = new AdmissionQueue(new ManualClock(), 1);
  queue.offer(createRequest("runs", recorded));
  queue.offer(createRequest("waits", recorded));
  queue.drain();
  queue.offer(createRequest("comes", recorded));
  t.deepEqual(recorded.refused, ["waits:draining:not-run", "comes:draining:not-run"]);
  t.is(queue.inUse, 1);
});

test("AdmissionQueue queues at most two requests per slot", (t) => {
  const recorded: Outcomes = { admitted: [], refused: [] };
  const queue = new AdmissionQueue(new ManualClock(), 1);
  ["runs", "waits-1", "waits-2", "comes"].forEach((key) => {
    queue.offer(createRequest(key, recorded));
  });
  t.deepEqual(recorded.refused, ["comes:overloaded:not-run"]);
});
