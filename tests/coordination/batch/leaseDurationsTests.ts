import test from "ava";
import fc from "fast-check";
import { DEFAULT_BATCH_SETTINGS } from "../../../src/coordination/batch/BatchSettings.ts";
import {
  getDriftSafeWaitMs,
  getLeaseExpiryWaitMs,
  getTakeoverWaitMs,
} from "../../../src/coordination/batch/leaseDurations.ts";

const SEED = 20_261_203;
const TOLERANCE = 1e-9;

test("getDriftSafeWaitMs is at least as long as the duration on any clock within the drift", (t) => {
  t.log(`seed ${SEED}`);
  const ppm = fc.integer({ min: 0, max: 100_000 });
  const rate = fc.double({ min: -1, max: 1, noNaN: true });
  fc.assert(
    fc.property(fc.nat(10_000_000), ppm, rate, rate, (durationMs, driftPpm, ours, theirs) => {
      const drift = driftPpm / 1_000_000;
      const realMs = getDriftSafeWaitMs(durationMs, driftPpm) / (1 + ours * drift);
      const passedMs = realMs * (1 + theirs * drift);
      return passedMs >= durationMs * (1 - TOLERANCE);
    }),
    { seed: SEED, numRuns: 2_000 },
  );
  t.pass();
});

test("getTakeoverWaitMs covers the longest lease durations of any previous owner", (t) => {
  const cfg = { ...DEFAULT_BATCH_SETTINGS, clockDriftPpm: 0 };
  const own = cfg.takeoverHorizonMs + cfg.taskLeaseMs;
  t.is(getLeaseExpiryWaitMs(cfg), cfg.taskLeaseMs);
  t.is(getTakeoverWaitMs(cfg, []), own);
  t.is(getTakeoverWaitMs(cfg, [{ leaseMs: 1, horizonMs: 1 }]), own);
  t.is(getTakeoverWaitMs(cfg, [{ leaseMs: own, horizonMs: 5 }]), own + 5);
});
