import test from "ava";
import { CapacityAllocator } from "../../../src/coordination/tasks/CapacityAllocator.ts";
import type { StartOrder } from "../../../src/coordination/tasks/StartOrder.ts";
import { TaskTable } from "../../../src/coordination/tasks/TaskTable.ts";

const CAPACITY = { processorsMilli: 4000, memoryBytes: 4000, accelerators: 0 };
const SIZE = { processorsMilli: 1000, memoryBytes: 1000, accelerators: 0 };
const STOP = { reason: "test", checkpointFirst: false };
const END = { phase: "stopped", checkpoint: "", progress: 0, reason: "" } as const;

function createTable(maxStoppedAttempts?: number): TaskTable {
  const allocator = new CapacityAllocator();
  allocator.setCapacity(CAPACITY);
  const table = new TaskTable({
    allocator,
    incarnation: "i1",
    ...(maxStoppedAttempts === undefined ? {} : { maxStoppedAttempts }),
  });
  table.open();
  return table;
}

let sequence = 0;

function recordHeartbeat(table: TaskTable, now: number): number {
  sequence += 1;
  table.recordHeartbeat(sequence, now);
  return sequence;
}

function createOrder(
  table: TaskTable,
  now: number,
  overrides: Partial<StartOrder> = {},
): StartOrder {
  return {
    task: "t",
    attempt: 1,
    partition: 3,
    epoch: 5,
    ownerAddress: "owner",
    resources: SIZE,
    kind: "kind",
    tenant: "tenant",
    incarnation: "i1",
    sequence: recordHeartbeat(table, now),
    expiresMs: 2_000,
    leaseMs: 10_000,
    ...overrides,
  };
}

function getRefusal(table: TaskTable, start: StartOrder, now: number): string | undefined {
  return table.admit(start, now).match(
    () => undefined,
    (reason) => reason,
  );
}

test("TaskTable admits nothing before it is opened, while it drains, or for another incarnation", (t) => {
  const closed = new TaskTable({ allocator: new CapacityAllocator(), incarnation: "i1" });
  t.is(getRefusal(closed, createOrder(closed, 10), 10), "agent-not-ready");
  const table = createTable();
  t.is(getRefusal(table, createOrder(table, 10, { incarnation: "i0" }), 10), "wrong-incarnation");
  table.drain();
  t.is(getRefusal(table, createOrder(table, 11, { task: "u" }), 11), "draining");
});

test("TaskTable starts a lease at the heartbeat on which the start was decided", (t) => {
  const table = createTable();
  const start = createOrder(table, 100);
  const record = table.admit(start, 1_500)._unsafeUnwrap();
  t.is(record.leaseUntil, 10_100);
});

test("TaskTable refuses a start that arrives late or names an unknown heartbeat", (t) => {
  const table = createTable();
  const late = createOrder(table, 100);
  t.is(getRefusal(table, late, 2_101), "start-expired");
  t.is(
    getRefusal(table, createOrder(table, 200, { task: "u", sequence: 0 }), 200),
    "start-expired",
  );
  const unknown = createOrder(table, 300, { task: "v", sequence: 400_000 });
  t.is(getRefusal(table, unknown, 300), "start-expired");
  const expired = createOrder(table, 300, { task: "w", leaseMs: 1_000 });
  t.is(getRefusal(table, expired, 1_200), "start-expired");
});

test("TaskTable refuses lower epochs, earlier attempts, and a new attempt beside a running one", (t) => {
  const table = createTable();
  t.is(getRefusal(table, createOrder(table, 10, { attempt: 2 }), 10), undefined);
  t.is(getRefusal(table, createOrder(table, 10, { attempt: 1 }), 10), "stale-attempt");
  t.is(getRefusal(table, createOrder(table, 10, { task: "u", epoch: 4 }), 10), "stale-epoch");
  t.is(getRefusal(table, createOrder(table, 10, { attempt: 3 }), 10), "earlier-attempt-present");
});

test("TaskTable admits the next attempt once the earlier one is confirmed stopped", (t) => {
  const table = createTable();
  const first = createOrder(table, 10);
  t.true(table.admit(first, 10).isOk());
  table.recordAccepted(first, 10);
  table.orderStop(first, STOP, 20);
  t.is(getRefusal(table, createOrder(table, 30, { attempt: 2 }), 30), "earlier-attempt-present");
  table.recordEnd(first, END, 40);
  t.is(getRefusal(table, createOrder(table, 50, { attempt: 3 }), 50), undefined);
});

test("TaskTable refuses an attempt that was stopped before its start arrived", (t) => {
  const table = createTable();
  const start = createOrder(table, 10);
  table.forbidStart(start);
  t.is(getRefusal(table, start, 20), "stale-attempt");
});

test("TaskTable permanently refuses an attempt that it has refused or forgotten", (t) => {
  const table = createTable();
  const big = createOrder(table, 10, { resources: { ...SIZE, processorsMilli: 5_000 } });
  t.is(getRefusal(table, big, 10), "no-room");
  t.is(getRefusal(table, { ...big, resources: SIZE }, 10), "stale-attempt");
  const other = createOrder(table, 10, { task: "u" });
  t.true(table.admit(other, 10).isOk());
  table.recordEnd(other, END, 20);
  table.forget(other);
  t.is(getRefusal(table, other, 30), "stale-attempt");
});

test("TaskTable refuses every start that may be older than a stop it has dropped", (t) => {
  const table = createTable(2);
  const delayed = createOrder(table, 10);
  recordHeartbeat(table, 20);
  table.forbidStart(delayed);
  ["u", "v"].forEach((task) => {
    recordHeartbeat(table, 30);
    table.forbidStart({ task, attempt: 1 });
  });
  t.is(getRefusal(table, delayed, 40), "start-expired");
  t.is(getRefusal(table, createOrder(table, 40, { task: "w" }), 40), undefined);
});

test("TaskTable extends no expired lease and returns the tasks with an expired lease", (t) => {
  const table = createTable();
  const start = createOrder(table, 100);
  t.true(table.admit(start, 100).isOk());
  table.recordAccepted(start, 100);
  t.is(table.extendLeases([start], 5, 12_000, 9_000).length, 1);
  t.deepEqual(table.getTasksWithExpiredLease(11_999), []);
  t.is(table.getTasksWithExpiredLease(12_000).length, 1);
  t.is(table.extendLeases([start], 5, 30_000, 12_000).length, 0);
});

test("TaskTable extends no lease for a superseded owner", (t) => {
  const table = createTable();
  const start = createOrder(table, 100);
  t.true(table.admit(start, 100).isOk());
  table.recordAccepted(start, 100);
  t.true(table.observeEpoch(3, 6));
  t.false(table.observeEpoch(3, 5));
  t.is(table.extendLeases([start], 5, 20_000, 200).length, 0);
  t.is(table.extendLeases([start], 6, 20_000, 200).length, 1);
});
