/**
 * Property tests of the capacity allocator: random sequences of all operations and external events.
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

type Operation = (allocator: CapacityAllocator) => void;

/** Operations that the allocator may reject; none may exceed the capacity. */
const checkedOperation: fc.Arbitrary<Operation> = fc.oneof(
  fc.tuple(key, amount).map(
    ([k, a]): Operation =>
      (allocator) =>
        void allocator.commit(k, a),
  ),
  fc.tuple(key, amount).map(
    ([k, a]): Operation =>
      (allocator) =>
        void allocator.raiseCommitment(k, a),
  ),
  fc.tuple(id, amount).map(
    ([s, a]): Operation =>
      (allocator) =>
        void allocator.reserveServer(s, a),
  ),
  fc.tuple(id, amount).map(([s, a]): Operation => (allocator) => {
    allocator.setHeadroom(new Map([[s, a]]));
  }),
  key.map((k): Operation => (allocator) => {
    allocator.release(k);
  }),
  key.map((k): Operation => (allocator) => {
    allocator.markYielding(k);
  }),
  id.map((s): Operation => (allocator) => {
    allocator.releaseServer(s);
  }),
);

/** External events, which apply whether they fit or not. */
const externalEvent: fc.Arbitrary<Operation> = fc.oneof(
  amount.map((a): Operation => (allocator) => {
    allocator.setCapacity(a);
  }),
  fc.tuple(key, amount).map(([k, a]): Operation => (allocator) => {
    allocator.adopt(k, a);
  }),
);

function exceeds(allocator: CapacityAllocator): boolean {
  return !fits(allocator.getCommitted(), allocator.getCapacity() ?? allocator.getCommitted());
}

function growsBeyond(before: Resources, after: Resources, capacity: Resources): boolean {
  return (["processorsMilli", "memoryBytes", "accelerators"] as const).some(
    (component) => after[component] > before[component] && after[component] > capacity[component],
  );
}

test("CapacityAllocator never commits more than the capacity of the VM, whatever the order of operations", (t) => {
  t.log(`seed ${SEED}, ${RUNS} histories`);
  const histories = fc.array(checkedOperation, { maxLength: 60 });
  fc.assert(
    fc.property(amount, histories, (capacity, operations) => {
      const allocator = new CapacityAllocator();
      allocator.setCapacity(capacity);
      return operations.every((operation) => {
        operation(allocator);
        return !exceeds(allocator);
      });
    }),
    { seed: SEED, numRuns: RUNS },
  );
  t.pass();
});

test("CapacityAllocator adds nothing to an overcommitted component, and selects enough tasks to yield", (t) => {
  t.log(`seed ${SEED}, ${RUNS} histories`);
  const operation = fc.oneof(
    checkedOperation.map((run) => ({ run, decides: true })),
    externalEvent.map((run) => ({ run, decides: false })),
  );
  fc.assert(
    fc.property(amount, fc.array(operation, { maxLength: 60 }), (capacity, operations) => {
      const allocator = new CapacityAllocator();
      allocator.setCapacity(capacity);
      operations.forEach(({ run, decides }) => {
        const before = allocator.getCommitted();
        run(allocator);
        const limit = allocator.getCapacity() ?? capacity;
        if (decides && growsBeyond(before, allocator.getCommitted(), limit)) {
          throw new Error("the commitments grew beyond the capacity");
        }
      });
      const free = allocator.getFreeCapacity();
      allocator.getTasksToYield().forEach((taskKey) => {
        allocator.markYielding(taskKey);
      });
      return (
        allocator.getTasksToYield().length === 0 && fits(free, allocator.getCapacity() ?? free)
      );
    }),
    { seed: SEED, numRuns: RUNS },
  );
  t.pass();
});
