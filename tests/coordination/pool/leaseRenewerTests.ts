/**
 * Tests of the renewals of a scheduler's lease in virtual time, while the store loses calls or
 * responds late.
 */
import test from "ava";
import { ElectionHarness, LEASE_MS } from "./ElectionHarness.ts";

// Guards against a pool lost by renewals that never arrive, although the lease lasts for four.
test("LeaseRenewer keeps its pool through two lost renewals", async (t) => {
  const pool = new ElectionHarness();
  const { election, store, epochs, left } = await pool.addScheduler();
  // The first renewal that gets lost is sent 500 ms after one that arrived.
  const sent = store.calls.renewLease;
  while (store.calls.renewLease === sent) {
    await pool.clock.advance(10);
  }
  store.lost.add("renewLease").add("read");
  await pool.clock.advance(LEASE_MS / 2 + 50);
  const lost = store.calls.renewLease - sent - 1;
  store.lost.clear();
  await pool.clock.advance(2 * LEASE_MS);
  t.deepEqual(left, []);
  t.is(election.epoch, epochs[0]);
  t.true(pool.clock.now() - election.confirmedAt <= LEASE_MS / 4);
  t.is(lost, 2);
});

// Guards against calls that pile up while the store gives no response.
test("LeaseRenewer has no more renewals in progress than within a lease", async (t) => {
  const pool = new ElectionHarness();
  const { store } = await pool.addScheduler();
  const deliver = store.hold("renewLease");
  await pool.clock.advance(10 * LEASE_MS);
  t.is(store.mostRenewals, 4);
  deliver();
  await pool.clock.advance(LEASE_MS);
  t.true(store.calls.renewLease > 6);
});

// Guards against a response that arrives late: it must neither take back a confirmation nor end an
// epoch that a later renewal has confirmed.
test("LeaseRenewer ignores older responses to its renewals", async (t) => {
  const pool = new ElectionHarness();
  const { election, store, left } = await pool.addScheduler();
  const deliver = store.hold("read");
  await pool.clock.advance(LEASE_MS / 4);
  store.release("read");
  await pool.clock.advance(LEASE_MS);
  const { confirmedAt } = election;
  t.true(pool.clock.now() - confirmedAt <= LEASE_MS / 4);
  deliver();
  await pool.clock.advance(1);
  t.is(election.confirmedAt, confirmedAt);
  t.deepEqual(left, []);
});
