/**
 * Tests in virtual time of entries that cannot do the work of a pool's scheduler: they claim
 * nothing, or give up what they hold.
 */
import test from "ava";
import { POOL } from "../../support/poolFixtures.ts";
import { CLAIM_MS, ElectionHarness, isAscending, KEY, LEASE_MS, OTHER } from "./ElectionHarness.ts";

// Guards against an entry elected that cannot read the pool's state, and one that could and does not
// take part once it is able to.
test("SchedulerElection claims a free key only while the entry is eligible", async (t) => {
  const pool = new ElectionHarness();
  const candidate = pool.addCandidate();
  const { election, store, epochs } = candidate;
  candidate.isEligible = false;
  election.reconsider();
  election.applyListing(undefined, 0);
  election.reconsider();
  await pool.clock.advance(10_000);
  t.is(store.calls.write, 0);
  t.true(store.calls.read <= 20, `${store.calls.read} reads`);
  candidate.isEligible = true;
  election.reconsider();
  await pool.clock.advance(CLAIM_MS);
  t.is(epochs.length, 1);
});

// Guards against an entry that became eligible without notice and never claims the free key.
test("SchedulerElection claims within a second once the entry is eligible", async (t) => {
  const pool = new ElectionHarness();
  const candidate = pool.addCandidate();
  candidate.isEligible = false;
  candidate.election.applyListing(undefined, 0);
  await pool.clock.advance(5_000);
  t.deepEqual(candidate.epochs, []);
  candidate.isEligible = true;
  await pool.clock.advance(1_000 + CLAIM_MS);
  t.is(candidate.epochs.length, 1);
});

// Guards against a restarted entry that takes its former key over before it can do the work.
test("SchedulerElection leaves the key of its former process alone until it is eligible", async (t) => {
  const pool = new ElectionHarness();
  const before = pool.writeKey(JSON.stringify({ entry: "entry-a", process: "process-before" }));
  const candidate = pool.addCandidate("process-a", "entry-a");
  candidate.isEligible = false;
  candidate.election.applyListing(pool.model.read(KEY), pool.model.revision);
  await pool.clock.advance(5_000);
  t.is(pool.model.read(KEY)?.revision, before);
  candidate.isEligible = true;
  candidate.election.reconsider();
  await pool.clock.advance(CLAIM_MS);
  t.is(candidate.epochs.length, 1);
});

// Guards against an entry that claims a key that another entry holds because it became eligible.
test("SchedulerElection reconsiders no key that another entry holds", async (t) => {
  const pool = new ElectionHarness();
  pool.writeKey(OTHER);
  const { election, store } = pool.addCandidate();
  election.applyListing(pool.model.read(KEY), pool.model.revision);
  election.reconsider();
  await pool.clock.advance(5_000);
  t.deepEqual([store.calls.read, store.calls.write], [0, 0]);
});

// Guards against an entry that keeps a pool that it cannot schedule, or claims it again before
// others can, even if the store does not get its revocation.
[false, true].forEach((isRevocationLost) => {
  test(`SchedulerElection resigns in favour of another entry, revocation lost: ${isRevocationLost}`, async (t) => {
    const pool = new ElectionHarness();
    const resigned = await pool.addScheduler();
    const other = pool.addCandidate("process-b");
    other.election.applyListing(pool.model.read(KEY), pool.model.revision);
    if (isRevocationLost) {
      resigned.store.lost.add("revokeLease");
    }
    const epoch = resigned.election.epoch;
    resigned.election.resign("the pool's state is incomplete");
    t.is(resigned.election.epoch, undefined);
    t.deepEqual(resigned.left, [epoch]);
    const line = resigned.log.lines.find(({ fields }) => fields.reason !== undefined);
    t.is(line?.level, "warn");
    t.deepEqual(line?.fields, { pool: POOL, epoch, reason: "the pool's state is incomplete" });
    await pool.clock.advance(isRevocationLost ? LEASE_MS : 1);
    t.is(pool.model.read(KEY), undefined);
    const deletion = { key: KEY, value: undefined, revision: pool.model.revision };
    resigned.election.applyChange(deletion);
    // The other entry learns it late.
    await pool.clock.advance(500);
    other.election.applyChange(deletion);
    await pool.clock.advance(10_000);
    t.is(other.epochs.length, 1);
    t.is(other.election.epoch, other.epochs[0]);
    t.is(resigned.epochs.length, 1);
  });
});

// Guards against a pool without a scheduler because the only entry resigned.
test("SchedulerElection takes part again after it resigned if nobody else does", async (t) => {
  const pool = new ElectionHarness();
  const { election, store, epochs, left } = await pool.addScheduler();
  const { write } = store.calls;
  election.resign("the pool's state is incomplete");
  election.resign("called twice");
  await pool.clock.advance(2_900);
  t.is(store.calls.write, write);
  await pool.clock.advance(1_200 + CLAIM_MS);
  t.is(epochs.length, 2);
  t.true(isAscending(epochs), `epochs ${epochs.join(", ")}`);
  t.deepEqual(left, epochs.slice(0, 1));
});
