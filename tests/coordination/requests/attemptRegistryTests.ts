import test from "ava";
import { AttemptRegistry } from "../../../src/coordination/requests/AttemptRegistry.ts";

const RETENTION_MS = 1000;
const KEY = AttemptRegistry.getKey("r1", 1);

test("AttemptRegistry detects a duplicate attempt", (t) => {
  const registry = new AttemptRegistry(RETENTION_MS);
  t.true(registry.register(KEY, 0));
  t.false(registry.register(KEY, 1));
});

test("AttemptRegistry blocks an attempt that arrives after it was settled as not run", (t) => {
  const registry = new AttemptRegistry(RETENTION_MS);
  t.is(registry.settle(KEY, 0), "not-run");
  t.false(registry.register(KEY, 1));
});

test("AttemptRegistry settles an attempt by its phase", (t) => {
  const registry = new AttemptRegistry(RETENTION_MS);
  registry.register(KEY, 0);
  registry.markRunning(KEY);
  t.is(registry.settle(KEY, 1), "may-have-run");
  registry.markFinished(KEY, 2);
  t.is(registry.settle(KEY, 3), "ran");
});

test("AttemptRegistry retains ended attempts for the retention time and open ones indefinitely", (t) => {
  const registry = new AttemptRegistry(RETENTION_MS);
  const openKey = AttemptRegistry.getKey("open", 1);
  registry.register(openKey, 0);
  registry.register(KEY, 0);
  registry.markRefused(KEY, RETENTION_MS - 1);
  const rotate = (now: number): void => {
    registry.register(AttemptRegistry.getKey(`at ${now}`, 1), now);
  };
  rotate(RETENTION_MS);
  t.is(registry.getPhase(KEY), "refused");
  rotate(2 * RETENTION_MS - 1);
  t.is(registry.getPhase(KEY), "refused");
  rotate(2 * RETENTION_MS);
  rotate(3 * RETENTION_MS);
  t.is(registry.getPhase(KEY), undefined);
  t.is(registry.getPhase(openKey), "queued");
});
