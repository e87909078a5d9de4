import test from "ava";
import { MemoryStore } from "../../../standins/store/MemoryStore.ts";
import { EntryMembership } from "../../../src/coordination/batch/EntryMembership.ts";
import { OwnershipManager } from "../../../src/coordination/batch/OwnershipManager.ts";
import type { PartitionOwner } from "../../../src/coordination/batch/PartitionOwner.ts";
import { ManualClock } from "../../support/ManualClock.ts";
import { MemoryLog } from "../../support/MemoryLog.ts";

const LEASE_MS = 3_000;
const ENTRY = { name: "entry-1", zone: "z", region: "r", control: "c", api: "a" };

/** Creates an owner with only the members that the manager uses. */
function createOwner(partition: number): PartitionOwner {
  const owner = {
    partition,
    epoch: 1,
    recordClaim: () => undefined,
    recordRenewal: () => undefined,
    verifyOwnership: () => Promise.resolve(true),
    release: () => Promise.resolve(),
  };
  return owner as unknown as PartitionOwner;
}

test("OwnershipManager takes over a partition whose owner key was left behind by a failed takeover", async (t) => {
  const clock = new ManualClock();
  const log = new MemoryLog();
  const store = new MemoryStore(clock);
  const membership = new EntryMembership({
    store,
    clock,
    log,
    registration: ENTRY,
    writer: "entry-1/1",
    leaseMs: LEASE_MS,
  });
  let attempts = 0;
  const manager = new OwnershipManager({
    clock,
    log,
    membership,
    entry: ENTRY.name,
    partitions: 1,
    leaseMs: LEASE_MS,
    takeOver: (partition) => {
      attempts += 1;
      // The first takeover fails, and the store becomes unavailable before the key is removed.
      store.faults.outage = attempts === 1;
      return Promise.resolve(attempts === 1 ? undefined : createOwner(partition));
    },
  });
  await manager.start();
  t.is(manager.owned.length, 0);
  store.faults.outage = false;
  await clock.advance(LEASE_MS);
  t.is(manager.owned.length, 1);
  await manager.stop();
});
