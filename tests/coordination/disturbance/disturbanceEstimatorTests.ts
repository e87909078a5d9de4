import test from "ava";
import { DisturbanceEstimator } from "../../../src/coordination/disturbance/DisturbanceEstimator.ts";
import { SeededRandom } from "../../support/SeededRandom.ts";

const REPORT_MS = 2000;
const LAG_MS = 4000;
const BASELINE_MS = 40;
const TRUE_RISE: Readonly<Record<string, number>> = { quiet: 0.1, noisy: 2 };

/**
 * Feeds reports of a VM whose mix changes every 20 s; each report arrives 4 s after its
 * measurement.
 */
function feedReports(estimator: DisturbanceEstimator, seed: number, reports: number): void {
  const random = new SeededRandom(seed);
  const getMix = (at: number) => {
    const phase = Math.floor(at / 20_000) % 4;
    return [
      { kind: "quiet", share: phase % 2 === 0 ? 0 : 0.4 },
      { kind: "noisy", share: phase < 2 ? 0 : 0.3 },
    ];
  };
  Array.from({ length: reports }, (_, index) => (index + 1) * REPORT_MS).forEach((now) => {
    estimator.recordMix(now, getMix(now));
    const measuredAt = now - LAG_MS;
    const rise = getMix(measuredAt).reduce(
      (sum, { kind, share }) => sum + (TRUE_RISE[kind] ?? 0) * share,
      0,
    );
    const noise = 1 + 0.1 * (random.next() - 0.5);
    const latencyMs = BASELINE_MS * (1 + rise) * noise;
    estimator.observe({ service: "desk", measuredAt, latencyMs, utilisation: 0.5 });
  });
}

test("DisturbanceEstimator estimates the rise of each pair from delayed reports", (t) => {
  const estimator = new DisturbanceEstimator();
  feedReports(estimator, 7, 200);
  t.true(Math.abs(estimator.getPairEstimate("desk", "noisy", 0.5).rise - 2) < 0.3);
  t.true(Math.abs(estimator.getPairEstimate("desk", "quiet", 0.5).rise - 0.1) < 0.15);
  t.true(estimator.isBaselineKnown("desk", 0.5));
});

test("DisturbanceEstimator returns the prior for pairs without reports", (t) => {
  const estimator = new DisturbanceEstimator();
  t.deepEqual(estimator.getPairEstimate("desk", "noisy", 0.5), { rise: 0.5, deviation: 1 });
  t.false(estimator.isBaselineKnown("desk", 0.5));
  feedReports(estimator, 7, 50);
  t.is(estimator.getPairEstimate("desk", "unseen", 0.5).rise, 0.5);
});

test("DisturbanceEstimator decays its estimates to the prior", (t) => {
  const estimator = new DisturbanceEstimator();
  feedReports(estimator, 7, 200);
  const before = estimator.getPairEstimate("desk", "noisy", 0.5);
  estimator.recordMix(10_000_000, []);
  estimator.observe({
    service: "desk",
    measuredAt: 10_000_000,
    latencyMs: BASELINE_MS,
    utilisation: 0.5,
  });
  const after = estimator.getPairEstimate("desk", "noisy", 0.5);
  t.true(after.rise < before.rise && after.rise >= 0.5);
  t.true(after.deviation > before.deviation);
});

test("DisturbanceEstimator ignores reports measured before its history", (t) => {
  const estimator = new DisturbanceEstimator();
  estimator.recordMix(5000, []);
  estimator.observe({ service: "desk", measuredAt: 4000, latencyMs: 40, utilisation: 0.5 });
  t.is(
    estimator.getMeasuredRise({ service: "desk", measuredAt: 6000, latencyMs: 4, utilisation: 0 }),
    undefined,
  );
});
