/**
 * Tests of the election of a pool's scheduler in virtual time.
 */
import test from "ava";
import { CLAIM_MS, ElectionHarness, isAscending, KEY, LEASE_MS, OTHER } from "./ElectionHarness.ts";

const CLAIM_DELAY_MS = 250;

// Guards against a listing from before this entry's claim ending its scheduling, after which it
// started a second scheduler with the same epoch.
test("SchedulerElection ignores a listing that is older than its claim", async (t) => {
  const pool = new ElectionHarness();
  const { election, epochs, left } = await pool.addScheduler();
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
  const pool = new ElectionHarness();
  const { election, epochs, left } = await pool.addScheduler();
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
  const pool = new ElectionHarness();
  const { election, store, epochs } = await pool.addScheduler();
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
  const pool = new ElectionHarness();
  pool.writeKey(JSON.stringify({ entry: "entry-a", process: "process-before" }));
  const { election, store, epochs } = pool.addCandidate("process-a", "entry-a");
  election.applyListing(pool.model.read(KEY), pool.model.revision);
  const deletion = pool.removeKey();
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
  const pool = new ElectionHarness();
  const { election, store, epochs } = pool.addCandidate();
  election.applyListing(undefined, 0);
  pool.writeKey(OTHER);
  const deliver = store.hold("write");
  await pool.clock.advance(CLAIM_MS);
  t.is(store.calls.write, 1);
  election.applyChange(pool.removeKey());
  deliver();
  await pool.clock.advance(1_000);
  t.is(epochs.length, 1);
});

// Guards against a pool that a value which cannot be parsed keeps without a scheduler for ever.
test("SchedulerElection replaces a value that cannot be parsed", async (t) => {
  const pool = new ElectionHarness();
  pool.writeKey("unreadable");
  const { election, epochs } = pool.addCandidate();
  election.applyListing(pool.model.read(KEY), pool.model.revision);
  await pool.clock.advance(1_000);
  t.is(epochs.length, 1);
});

// Guards against a candidate that gives up after failed calls, or loads the store while it waits.
test("SchedulerElection reads the key until a holder is known and not longer", async (t) => {
  const pool = new ElectionHarness();
  const { election, store, epochs } = pool.addCandidate();
  store.lost.add("write");
  election.applyListing(undefined, 0);
  await pool.clock.advance(10_000);
  t.true(store.calls.write > 5, `${store.calls.write} claims`);
  t.true(store.calls.read <= 25, `${store.calls.read} reads`);
  pool.writeKey(OTHER);
  await pool.clock.advance(2_000);
  const { read, write } = store.calls;
  await pool.clock.advance(10_000);
  t.deepEqual([store.calls.read, store.calls.write], [read, write]);
  t.deepEqual(epochs, []);
});

// Guards against a scheduler that steps down since a call from before its claim found the key absent
// or with the value of a former process.
["", JSON.stringify({ entry: "entry-a", process: "process-before" })].forEach((before) => {
  test(`SchedulerElection ignores a read from before its claim, key "${before}"`, async (t) => {
    const pool = new ElectionHarness();
    if (before !== "") {
      pool.writeKey(before);
    }
    const { election, store, epochs, left } = pool.addCandidate("process-a", "entry-a");
    store.lost.add("write");
    election.applyListing(pool.model.read(KEY), pool.model.revision);
    await pool.clock.advance(CLAIM_MS);
    const deliver = store.hold("read");
    const { read } = store.calls;
    while (store.calls.read === read) {
      await pool.clock.advance(10);
    }
    store.release("read");
    store.lost.delete("write");
    await pool.clock.advance(2 * LEASE_MS);
    t.is(epochs.length, 1);
    deliver();
    await pool.clock.advance(LEASE_MS);
    t.deepEqual(left, []);
    t.is(election.epoch, epochs[0]);
  });
});

// Guards against a scheduler that does not notice that its key was deleted or replaced.
test("SchedulerElection leaves its epoch if its key is deleted or replaced", async (t) => {
  const pool = new ElectionHarness();
  const { election, epochs, left } = await pool.addScheduler();
  pool.removeKey();
  await pool.clock.advance(1_000);
  t.deepEqual(left, epochs.slice(0, 1));
  t.is(election.epoch, epochs[1]);
  pool.writeKey(OTHER);
  await pool.clock.advance(1_000);
  t.deepEqual(left, epochs);
  t.is(election.epoch, undefined);
});

// Guards against a claim with a lease that has ended while another entry held the pool, which costs
// the pool the time until the next try.
test("SchedulerElection claims with a new lease after a claim that another entry won", async (t) => {
  const pool = new ElectionHarness();
  const { election, store, epochs } = pool.addCandidate();
  election.applyListing(undefined, 0);
  pool.writeKey(OTHER);
  await pool.clock.advance(2 * LEASE_MS);
  t.is(store.calls.write, 1);
  election.applyChange(pool.removeKey());
  await pool.clock.advance(CLAIM_MS);
  t.is(epochs.length, 1);
});

// Guards against a claim whose response got lost and whose key is then kept by nobody; the election
// counts as confirmed from a call that was sent after it.
test("SchedulerElection adopts a key of its own whose claim got no response", async (t) => {
  const pool = new ElectionHarness();
  const { election, store, epochs, left } = pool.addCandidate();
  store.hold("write");
  election.applyListing(undefined, 0);
  await pool.clock.advance(CLAIM_MS);
  t.deepEqual(epochs, []);
  const key = pool.model.read(KEY);
  t.truthy(key);
  election.applyListing(key, pool.model.revision);
  t.is(election.confirmedAt, Number.NEGATIVE_INFINITY);
  await pool.clock.advance(2 * LEASE_MS);
  t.deepEqual(epochs, [key?.revision]);
  t.deepEqual(left, []);
  t.true(pool.clock.now() - election.confirmedAt <= LEASE_MS / 4);
});

// Guards against a key that an entry leaves behind when it is stopped during its claim.
test("SchedulerElection releases a key whose claim is under way when it stops", async (t) => {
  const pool = new ElectionHarness();
  const { election, store, epochs } = pool.addCandidate();
  const deliver = store.hold("write");
  election.applyListing(undefined, 0);
  await pool.clock.advance(CLAIM_MS);
  t.truthy(pool.model.read(KEY));
  await election.stop();
  deliver();
  await pool.clock.advance(CLAIM_MS);
  t.is(pool.model.read(KEY), undefined);
  t.deepEqual(epochs, []);
});

// Guards against claims without a pause while the store refuses every call.
test("SchedulerElection pauses after claims that fail immediately", async (t) => {
  const pool = new ElectionHarness();
  const { election, store, epochs } = pool.addCandidate();
  election.applyListing(undefined, 0);
  store.startOutage();
  await pool.clock.advance(10_000);
  const { reads, writes } = store.counts;
  t.true(reads + writes <= 100, `${reads} reads, ${writes} writes`);
  store.endOutage();
  store.faults.rateLimited = 2;
  await pool.clock.advance(1_000);
  t.is(epochs.length, 1);
});

// Guards against claims without a pause while the store grants leases and refuses the writes.
test("SchedulerElection pauses after claims whose writes fail immediately", async (t) => {
  const pool = new ElectionHarness();
  const { election, store, epochs } = pool.addCandidate();
  election.applyListing(undefined, 0);
  store.faults.lostRequests = 1_000;
  await pool.clock.advance(10_000);
  const { writes } = store.counts;
  t.true(writes <= 100, `${writes} writes`);
  store.faults.lostRequests = 0;
  await pool.clock.advance(1_000);
  t.is(epochs.length, 1);
});

// Guards against a pool that an entry with a narrow link schedules while one with a wide link is idle.
test("SchedulerElection leaves a free key to entries whose claims are not delayed", async (t) => {
  const pool = new ElectionHarness();
  const delayed = pool.addCandidate("process-a", "entry-a", CLAIM_DELAY_MS);
  const first = pool.addCandidate("process-b", "entry-b");
  const candidates = [delayed, first];
  candidates.forEach(({ election }) => {
    election.applyListing(undefined, pool.model.revision);
  });
  await pool.clock.advance(CLAIM_DELAY_MS + CLAIM_MS);
  t.deepEqual(
    candidates.map(({ epochs }) => epochs.length),
    [0, 1],
  );
});

test("SchedulerElection claims a free key after its delay if no other entry does", async (t) => {
  const pool = new ElectionHarness();
  const delayed = pool.addCandidate("process-a", "entry-a", CLAIM_DELAY_MS);
  delayed.election.applyListing(undefined, pool.model.revision);
  await pool.clock.advance(CLAIM_DELAY_MS + CLAIM_MS);
  t.is(delayed.epochs.length, 1);
});
