import test from "ava";
import { AttemptRegistry } from "../../../src/coordination/requests/AttemptRegistry.ts";

const RETENTION_MS = 1000;
const KEY = AttemptRegistry.getKey("r1", 1);

test("RequestLedger refuses an attempt that it has seen", (t) => {
  const ledger = new AttemptRegistry(RETENTION_MS);
  t.true(ledger.register(KEY, 0));
  t.false(ledger.register(KEY, 1));
});

test("RequestLedger keeps a late attempt out once it was settled as not run", (t) => {
  const ledger = new AttemptRegistry(RETENTION_MS);
  t.is(ledger.settle(KEY, 0), "not-run");
  t.false(ledger.register(KEY, 1));
});

test("RequestLedger settles by phase", (t) => {
  const ledger = new AttemptRegistry(RETENTION_MS);
  ledger.register(KEY, 0);
  ledger.markRunning(KEY);
  t.is(ledger.settle(KEY, 1), "may-have-run");
  ledger.markFinished(KEY, 2);
  t.is(ledger.settle(KEY, 3), "ran");
});

test("RequestLedger remembers ended attempts for the retention and open ones for good", (t) => {
  const ledger = new AttemptRegistry(RETENTION_MS);
  const open = AttemptRegistry.getKey("open", 1);
  ledger.register(open, 0);
  ledger.register(KEY, 0);
  ledger.markRefused(KEY, RETENTION_MS - 1);
  const rotate = (now: number): void => {
    ledger.register(AttemptRegistry.getKey(`at ${now}`, 1), now);
  };
  rotate(RETENTION_MS);
  t.is(ledger.getPhase(KEY), "refused");
  rotate(2 * RETENTION_MS - 1);
  t.is(ledger.getPhase(KEY), "refused");
  rotate(2 * RETENTION_MS);
  rotate(3 * RETENTION_MS);
  t.is(ledger.getPhase(KEY), undefined);
  t.is(ledger.getPhase(open), "queued");
});
