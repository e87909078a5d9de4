import test from "ava";
import { CapacityAllocator } from "../../../src/coordination/tasks/CapacityAllocator.ts";
import type { Resources } from "../../../src/protocol/Resources.ts";

const GIB = 2 ** 30;

function amount(cores: number, gib = 0, accelerators = 0): Resources {
  return { processorsMilli: cores * 1000, memoryBytes: gib * GIB, accelerators };
}

function createAllocator(capacity: Resources): CapacityAllocator {
  const allocator = new CapacityAllocator();
  allocator.setCapacity(capacity);
  return allocator;
}

const A = { task: "a", attempt: 1 };
const B = { task: "b", attempt: 1 };
const C = { task: "c", attempt: 1 };

test("CapacityAllocator commits nothing before the capacity is known", (t) => {
  t.false(new CapacityAllocator().commit(A, amount(0)));
});

test("CapacityAllocator commits up to each component of the capacity and no further", (t) => {
  const allocator = createAllocator(amount(4, 8, 1));
  t.true(allocator.commit(A, amount(2, 1, 1)));
  t.false(allocator.commit(B, amount(1, 1, 1)));
  t.false(allocator.commit(B, amount(3, 1)));
  t.false(allocator.commit(B, amount(1, 8)));
  t.true(allocator.commit(B, amount(2, 7)));
  t.deepEqual(allocator.getFreeCapacity(), amount(0));
});

test("CapacityAllocator commits no attempt twice and no negative or NaN amount", (t) => {
  const allocator = createAllocator(amount(4, 8));
  t.true(allocator.commit(A, amount(1)));
  t.false(allocator.commit(A, amount(1)));
  t.false(allocator.commit(B, amount(-1)));
  t.false(allocator.commit(B, amount(Number.NaN)));
});

test("CapacityAllocator keeps the resources of a yielding task committed until they are released", (t) => {
  const allocator = createAllocator(amount(2));
  t.true(allocator.commit(A, amount(2)));
  allocator.markYielding(A);
  t.false(allocator.commit(B, amount(1)));
  allocator.release(A);
  t.true(allocator.commit(B, amount(1)));
});

test("CapacityAllocator makes the newest tasks yield to a backend server and keeps capacity free for it", (t) => {
  const allocator = createAllocator(amount(4));
  [A, B, C].forEach((key) => t.true(allocator.commit(key, amount(1))));
  t.is(allocator.reserveServer("s", amount(2)), "pending");
  t.deepEqual(allocator.getTasksToYield(), [C]);
  t.false(allocator.commit({ task: "d", attempt: 1 }, amount(1)));
  allocator.markYielding(C);
  t.deepEqual(allocator.getTasksToYield(), []);
  allocator.release(C);
  t.is(allocator.getServerState("s"), "granted");
});

test("CapacityAllocator selects no task to yield whose stop would not help", (t) => {
  const allocator = createAllocator(amount(4, 8));
  t.true(allocator.commit(A, amount(3)));
  t.true(allocator.commit(B, amount(0, 8)));
  t.true(allocator.commit(C, amount(1)));
  t.is(allocator.reserveServer("s", amount(3)), "pending");
  t.deepEqual(allocator.getTasksToYield(), [A]);
});

test("CapacityAllocator makes no task yield to a backend server that cannot fit on the VM", (t) => {
  const allocator = createAllocator(amount(4));
  t.true(allocator.commit(A, amount(1)));
  t.is(allocator.reserveServer("s", amount(5)), "impossible");
  t.deepEqual(allocator.getTasksToYield(), []);
  t.true(allocator.commit(B, amount(3)));
});

test("CapacityAllocator grants headroom as far as it fits and makes tasks yield for the rest", (t) => {
  const allocator = createAllocator(amount(4));
  t.true(allocator.commit(A, amount(2)));
  t.true(allocator.commit(B, amount(1)));
  allocator.setHeadroom(new Map([["svc", amount(2)]]));
  t.deepEqual(allocator.getCommitted(), amount(4));
  t.deepEqual(allocator.getTasksToYield(), [B]);
  allocator.release(B);
  t.deepEqual(allocator.getCommitted(), amount(4));
  allocator.setHeadroom(new Map());
  t.deepEqual(allocator.getCommitted(), amount(2));
});

test("CapacityAllocator commits nothing after the capacity shrank and selects the tasks that must yield", (t) => {
  const allocator = createAllocator(amount(4));
  t.true(allocator.commit(A, amount(2)));
  t.true(allocator.commit(B, amount(1)));
  allocator.setCapacity(amount(2));
  t.false(allocator.commit(C, amount(1)));
  t.deepEqual(allocator.getTasksToYield(), [B]);
  t.deepEqual(allocator.getFreeCapacity(), amount(0));
});

test("CapacityAllocator counts adopted tasks even if they do not fit", (t) => {
  const allocator = createAllocator(amount(2));
  allocator.adopt(A, amount(3));
  t.deepEqual(allocator.getCommitted(), amount(3));
  t.false(allocator.commit(B, amount(0.001)));
  t.deepEqual(allocator.getTasksToYield(), [A]);
});

test("CapacityAllocator raises a commitment only if it fits", (t) => {
  const allocator = createAllocator(amount(4, 8));
  t.true(allocator.commit(A, amount(1, 2)));
  t.true(allocator.commit(B, amount(1, 4)));
  t.true(allocator.raiseCommitment(A, amount(0, 4)));
  t.deepEqual(allocator.getCommitment(A), amount(1, 4));
  t.false(allocator.raiseCommitment(A, amount(1, 5)));
  t.deepEqual(allocator.getCommitment(A), amount(1, 4));
  t.false(allocator.raiseCommitment(C, amount(1)));
});
