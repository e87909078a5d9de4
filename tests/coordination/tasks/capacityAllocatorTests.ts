import test from "ava";
import { CapacityAllocator } from "../../../src/coordination/tasks/CapacityAllocator.ts";
import type { Resources } from "../../../src/protocol/Resources.ts";

const GIB = 2 ** 30;

function amount(cores: number, gib = 0, accelerators = 0): Resources {
  return { processorsMilli: cores * 1000, memoryBytes: gib * GIB, accelerators };
}

function createAllocator(capacity: Resources): CapacityAllocator {
  const book = new CapacityAllocator();
  book.setCapacity(capacity);
  return book;
}

const A = { task: "a", attempt: 1 };
const B = { task: "b", attempt: 1 };
const C = { task: "c", attempt: 1 };

test("CapacityBook commits nothing before the capacity is known", (t) => {
  t.false(new CapacityAllocator().commit(A, amount(0)));
});

test("CapacityBook commits up to each part of the capacity and no further", (t) => {
  const book = createAllocator(amount(4, 8, 1));
  t.true(book.commit(A, amount(2, 1, 1)));
  t.false(book.commit(B, amount(1, 1, 1)));
  t.false(book.commit(B, amount(3, 1)));
  t.false(book.commit(B, amount(1, 8)));
  t.true(book.commit(B, amount(2, 7)));
  t.deepEqual(book.getFreeCapacity(), amount(0));
});

test("CapacityBook commits no attempt twice and no negative or unordered amount", (t) => {
  const book = createAllocator(amount(4, 8));
  t.true(book.commit(A, amount(1)));
  t.false(book.commit(A, amount(1)));
  t.false(book.commit(B, amount(-1)));
  t.false(book.commit(B, amount(Number.NaN)));
});

test("CapacityBook keeps a yielding task's amount until it is released", (t) => {
  const book = createAllocator(amount(2));
  t.true(book.commit(A, amount(2)));
  book.markYielding(A);
  t.false(book.commit(B, amount(1)));
  book.release(A);
  t.true(book.commit(B, amount(1)));
});

test("CapacityBook makes the newest tasks yield to a backend server and keeps room for it", (t) => {
  const book = createAllocator(amount(4));
  [A, B, C].forEach((key) => t.true(book.commit(key, amount(1))));
  t.is(book.reserveServer("s", amount(2)), "pending");
  t.deepEqual(book.getTasksToYield(), [C]);
  t.false(book.commit({ task: "d", attempt: 1 }, amount(1)));
  book.markYielding(C);
  t.deepEqual(book.getTasksToYield(), []);
  book.release(C);
  t.is(book.getServerState("s"), "granted");
});

test("CapacityBook spares tasks whose stop would not help", (t) => {
  const book = createAllocator(amount(4, 8));
  t.true(book.commit(A, amount(3)));
  t.true(book.commit(B, amount(0, 8)));
  t.true(book.commit(C, amount(1)));
  t.is(book.reserveServer("s", amount(3)), "pending");
  t.deepEqual(book.getTasksToYield(), [A]);
});

test("CapacityBook makes nobody yield to a backend server that the VM cannot hold", (t) => {
  const book = createAllocator(amount(4));
  t.true(book.commit(A, amount(1)));
  t.is(book.reserveServer("s", amount(5)), "impossible");
  t.deepEqual(book.getTasksToYield(), []);
  t.true(book.commit(B, amount(3)));
});

test("CapacityBook grants headroom as far as it fits and lets tasks yield for the rest", (t) => {
  const book = createAllocator(amount(4));
  t.true(book.commit(A, amount(2)));
  t.true(book.commit(B, amount(1)));
  book.setHeadroom(new Map([["svc", amount(2)]]));
  t.deepEqual(book.getCommitted(), amount(4));
  t.deepEqual(book.getTasksToYield(), [B]);
  book.release(B);
  t.deepEqual(book.getCommitted(), amount(4));
  book.setHeadroom(new Map());
  t.deepEqual(book.getCommitted(), amount(2));
});

test("CapacityBook admits nothing on a shrunken VM and names who must yield", (t) => {
  const book = createAllocator(amount(4));
  t.true(book.commit(A, amount(2)));
  t.true(book.commit(B, amount(1)));
  book.setCapacity(amount(2));
  t.false(book.commit(C, amount(1)));
  t.deepEqual(book.getTasksToYield(), [B]);
  t.deepEqual(book.getFreeCapacity(), amount(0));
});

test("CapacityBook counts adopted tasks even where they do not fit", (t) => {
  const book = createAllocator(amount(2));
  book.adopt(A, amount(3));
  t.deepEqual(book.getCommitted(), amount(3));
  t.false(book.commit(B, amount(0.001)));
  t.deepEqual(book.getTasksToYield(), [A]);
});

test("CapacityBook raises a commitment only where it fits", (t) => {
  const book = createAllocator(amount(4, 8));
  t.true(book.commit(A, amount(1, 2)));
  t.true(book.commit(B, amount(1, 4)));
  t.true(book.raiseCommitment(A, amount(0, 4)));
  t.deepEqual(book.getCommitment(A), amount(1, 4));
  t.false(book.raiseCommitment(A, amount(1, 5)));
  t.deepEqual(book.getCommitment(A), amount(1, 4));
  t.false(book.raiseCommitment(C, amount(1)));
});
