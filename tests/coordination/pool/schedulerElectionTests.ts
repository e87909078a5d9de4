/**
 * Tests of the election of a pool's scheduler in virtual time. The tests deliver the changes of the
 * key themselves, in any order that a store allows.
 */
import test from "ava";
import { SchedulerElection } from "../../../src/coordination/pool/SchedulerElection.ts";
import type { StoreChange } from "../../../src/protocol/platform/Store.ts";
import { getSchedulerKey } from "../../../src/state/pool/PoolKeys.ts";
import { StoreModel } from "../../../standins/store/StoreModel.ts";
import { ManualClock } from "../../support/ManualClock.ts";
import { MemoryLog } from "../../support/MemoryLog.ts";
import { POOL } from "../../support/poolFixtures.ts";
import { SeededRandom } from "../../support/SeededRandom.ts";
import { ElectionStore } from "./ElectionStore.ts";

const KEY = getSchedulerKey(POOL);
const LEASE_MS = 2_000;
/** Record of another entry. */
const OTHER = JSON.stringify({ entry: "other", process: "process-other" });
/** Longer than the jitter of a claim, in milliseconds. */
const CLAIM_MS = 100;

/** An entry that takes part in an election, and what it was told. */
interface Candidate {
  readonly election: SchedulerElection;
  readonly store: ElectionStore;
  readonly log: MemoryLog;
  /** Epochs for which the entry was elected, in order. */
  readonly epochs: number[];
  /** Epochs that it left, in order. */
  readonly left: number[];
}

interface Pool {
  readonly clock: ManualClock;
  readonly model: StoreModel;
}

function createPool(): Pool {
  const clock = new ManualClock();
  return { clock, model: new StoreModel(clock) };
}

function addCandidate({ clock, model }: Pool, process = "process-a", entry = process): Candidate {
  const store = new ElectionStore(clock, model);
  const log = new MemoryLog();
  const epochs: number[] = [];
  const left: number[] = [];
  const election = new SchedulerElection({
    ...{ store, clock, log, pool: POOL, leaseMs: LEASE_MS },
    random: new SeededRandom(process.length),
    identity: { entry, process },
    onElected: (epoch) => {
      epochs.push(epoch);
    },
    onSuperseded: () => {
      left.push(epochs.at(-1) ?? 0);
    },
  });
  return { election, store, log, epochs, left };
}

/** Adds an entry and lets it be elected. */
async function addScheduler(pool: Pool): Promise<Candidate> {
  const candidate = addCandidate(pool);
  candidate.election.applyListing(undefined, pool.model.revision);
  await pool.clock.advance(CLAIM_MS);
  return candidate;
}

/** Writes the key as another entry and returns its revision. */
function writeKey({ model }: Pool, value: string): number {
  const written = model.write({ key: KEY, value, expected: model.read(KEY)?.revision ?? 0 });
  return written.kind === "written" ? written.revision : 0;
}

/** Deletes the key and returns the change. */
function removeKey({ model }: Pool): StoreChange {
  model.remove(KEY, model.read(KEY)?.revision ?? 0);
  return { key: KEY, value: undefined, revision: model.revision };
}

function isAscending(numbers: readonly number[]): boolean {
  return numbers.every((number, position) => number > (numbers[position - 1] ?? 0));
}

// Guards against a listing from before this entry's claim ending its scheduling, after which it
// started a second scheduler with the same epoch.
test("SchedulerElection ignores a listing that is older than its claim", async (t) => {
  const pool = createPool();
  const { election, epochs, left } = await addScheduler(pool);
  t.is(epochs.length, 1);
  election.applyListing(undefined, 0);
  await pool.clock.advance(1_000);
  t.deepEqual(left, []);
  t.is(epochs.length, 1);
  t.is(election.epoch, epochs[0]);
});

// Guards against two schedulers of one entry with the same epoch: agents keep the starts of the
// first, which the second counts as lost, so that a task runs twice.
test("SchedulerElection never adopts an epoch that it left", async (t) => {
  const pool = createPool();
  const { election, epochs, left } = await addScheduler(pool);
  election.handleSuperseded();
  await pool.clock.advance(1_000);
  election.handleSuperseded();
  await pool.clock.advance(1_000);
  t.is(left.length, 2);
  t.is(epochs.length, 3);
  t.true(isAscending(epochs), `epochs ${epochs.join(", ")}`);
});

// Guards against the adoption of the own former key where its lease could not be revoked.
test("SchedulerElection replaces its key of an epoch that it left if the key still exists", async (t) => {
  const pool = createPool();
  const { election, store, epochs } = await addScheduler(pool);
  store.lost.add("revokeLease");
  election.handleSuperseded();
  await pool.clock.advance(CLAIM_MS);
  t.is(epochs.length, 2);
  t.true(isAscending(epochs), `epochs ${epochs.join(", ")}`);
  t.is(pool.model.read(KEY)?.revision, epochs[1]);
  await pool.clock.advance(2 * LEASE_MS);
  t.is(election.epoch, epochs[1]);
});

// Guards against a free key that nobody claims: its deletion arrived while a claim was under way,
// whose conflict then named no current entry.
test("SchedulerElection claims a key that was deleted during its claim", async (t) => {
  const pool = createPool();
  writeKey(pool, JSON.stringify({ entry: "entry-a", process: "process-before" }));
  const { election, store, epochs } = addCandidate(pool, "process-a", "entry-a");
  election.applyListing(pool.model.read(KEY), pool.model.revision);
  const deletion = removeKey(pool);
  const deliver = store.hold("write");
  await pool.clock.advance(CLAIM_MS);
  t.is(store.calls.write, 1);
  election.applyChange(deletion);
  deliver();
  await pool.clock.advance(1_000);
  t.is(epochs.length, 1);
  t.is(pool.model.read(KEY)?.revision, epochs[0]);
});

// Guards against a free key that nobody claims: the deletion of the winner's key arrived before the
// conflict that named the winner.
test("SchedulerElection claims a key whose deletion arrives before its conflict", async (t) => {
  const pool = createPool();
  const { election, store, epochs } = addCandidate(pool);
  election.applyListing(undefined, 0);
  writeKey(pool, OTHER);
  const deliver = store.hold("write");
  await pool.clock.advance(CLAIM_MS);
  t.is(store.calls.write, 1);
  election.applyChange(removeKey(pool));
  deliver();
  await pool.clock.advance(1_000);
  t.is(epochs.length, 1);
});

// Guards against a pool that a value which cannot be parsed keeps without a scheduler for ever.
test("SchedulerElection replaces a value that cannot be parsed", async (t) => {
  const pool = createPool();
  writeKey(pool, "unreadable");
  const { election, epochs } = addCandidate(pool);
  election.applyListing(pool.model.read(KEY), pool.model.revision);
  await pool.clock.advance(1_000);
  t.is(epochs.length, 1);
});

// Guards against a candidate that gives up after failed calls, or loads the store while it waits.
test("SchedulerElection reads the key until a holder is known and not longer", async (t) => {
  const pool = createPool();
  const { election, store, epochs } = addCandidate(pool);
  store.lost.add("write");
  election.applyListing(undefined, 0);
  await pool.clock.advance(10_000);
  t.true(store.calls.write > 5, `${store.calls.write} claims`);
  t.true(store.calls.read <= 25, `${store.calls.read} reads`);
  writeKey(pool, OTHER);
  await pool.clock.advance(2_000);
  const { read, write } = store.calls;
  await pool.clock.advance(10_000);
  t.deepEqual([store.calls.read, store.calls.write], [read, write]);
  t.deepEqual(epochs, []);
});
