/**
 * Tests of the table of writes that may still take effect.
 */
import test from "ava";
import { UnresolvedWriteTable } from "../../../src/coordination/pool/UnresolvedWriteTable.ts";
import { ManualClock } from "../../support/ManualClock.ts";

/** Time for which a write without a response is kept, in milliseconds. */
const MAX_DELAY_MS = 60_000;

// Guards against a refusal of one attempt that hides another one in progress.
test("UnresolvedWriteTable has a key until each of its attempts is known to have had no effect", (t) => {
  const table = new UnresolvedWriteTable(new ManualClock());
  t.false(table.has("key"));
  table.add("key");
  table.add("key");
  table.removeAttempt("key");
  t.true(table.has("key"));
  table.removeAttempt("key");
  t.false(table.has("key"));
  table.add("key");
  table.add("key");
  table.resolve("key");
  t.false(table.has("key"));
});

// Guards against a table that grows with every interruption of the store.
test("UnresolvedWriteTable forgets a key some time after its last attempt", async (t) => {
  const clock = new ManualClock();
  const table = new UnresolvedWriteTable(clock);
  table.add("repeated");
  table.add("single");
  await clock.advance(1_000);
  table.add("repeated");
  await clock.advance(MAX_DELAY_MS - 1_000);
  t.false(table.has("single"));
  t.true(table.has("repeated"));
  await clock.advance(1_000);
  t.false(table.has("repeated"));
});
