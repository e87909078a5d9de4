/**
 * Random orders of everything that reaches a capacity book.
 */
import test from "ava";
import fc from "fast-check";
import { CapacityAllocator } from "../../../src/coordination/tasks/CapacityAllocator.ts";
import type { TaskKey } from "../../../src/coordination/tasks/TaskKey.ts";
import { fits, type Resources } from "../../../src/protocol/Resources.ts";

const SEED = Number(process.env.FIREFLYLB_SEED ?? 20_263);
const RUNS = Number(process.env.FIREFLYLB_RUNS ?? 2_000);

const amount = fc.record({
  processorsMilli: fc.integer({ min: 0, max: 4 }),
  memoryBytes: fc.integer({ min: 0, max: 4 }),
  accelerators: fc.integer({ min: 0, max: 1 }),
});
const key = fc.nat(5).map((number): TaskKey => ({ task: `t${number}`, attempt: 1 }));
const id = fc.constantFrom("s1", "s2");

type Operation = (book: CapacityAllocator) => void;

/** What a book decides itself; none of it may exceed the capacity. */
const checkedOperation: fc.Arbitrary<Operation> = fc.oneof(
  fc.tuple(key, amount).map(
    ([k, a]): Operation =>
      (book) =>
        void book.commit(k, a),
  ),
  fc.tuple(key, amount).map(
    ([k, a]): Operation =>
      (book) =>
        void book.raiseCommitment(k, a),
  ),
  fc.tuple(id, amount).map(
    ([s, a]): Operation =>
      (book) =>
        void book.reserveServer(s, a),
  ),
  fc.tuple(id, amount).map(([s, a]): Operation => (book) => {
    book.setHeadroom(new Map([[s, a]]));
  }),
  key.map((k): Operation => (book) => {
    book.release(k);
  }),
  key.map((k): Operation => (book) => {
    book.markYielding(k);
  }),
  id.map((s): Operation => (book) => {
    book.releaseServer(s);
  }),
);

/** What happens to a VM whether it fits or not. */
const externalEvent: fc.Arbitrary<Operation> = fc.oneof(
  amount.map((a): Operation => (book) => {
    book.setCapacity(a);
  }),
  fc.tuple(key, amount).map(([k, a]): Operation => (book) => {
    book.adopt(k, a);
  }),
);

function exceeds(book: CapacityAllocator): boolean {
  return !fits(book.getCommitted(), book.getCapacity() ?? book.getCommitted());
}

function growsBeyond(before: Resources, after: Resources, capacity: Resources): boolean {
  return (["processorsMilli", "memoryBytes", "accelerators"] as const).some(
    (part) => after[part] > before[part] && after[part] > capacity[part],
  );
}

test("CapacityBook never holds more than the VM has, whatever the order of messages", (t) => {
  t.log(`seed ${SEED}, ${RUNS} histories`);
  const histories = fc.array(checkedOperation, { maxLength: 60 });
  fc.assert(
    fc.property(amount, histories, (capacity, acts) => {
      const book = new CapacityAllocator();
      book.setCapacity(capacity);
      return acts.every((act) => {
        act(book);
        return !exceeds(book);
      });
    }),
    { seed: SEED, numRuns: RUNS },
  );
  t.pass();
});

test("CapacityBook adds nothing to what exceeds the VM, and the tasks to yield suffice", (t) => {
  t.log(`seed ${SEED}, ${RUNS} histories`);
  const act = fc.oneof(
    checkedOperation.map((run) => ({ run, decides: true })),
    externalEvent.map((run) => ({ run, decides: false })),
  );
  fc.assert(
    fc.property(amount, fc.array(act, { maxLength: 60 }), (capacity, acts) => {
      const book = new CapacityAllocator();
      book.setCapacity(capacity);
      acts.forEach(({ run, decides }) => {
        const before = book.getCommitted();
        run(book);
        const limit = book.getCapacity() ?? capacity;
        if (decides && growsBeyond(before, book.getCommitted(), limit)) {
          throw new Error("the book grew beyond the capacity");
        }
      });
      const free = book.getFreeCapacity();
      book.getTasksToYield().forEach((named) => {
        book.markYielding(named);
      });
      return book.getTasksToYield().length === 0 && fits(free, book.getCapacity() ?? free);
    }),
    { seed: SEED, numRuns: RUNS },
  );
  t.pass();
});
