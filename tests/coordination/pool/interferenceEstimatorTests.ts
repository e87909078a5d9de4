/**
 * Tests of the estimated interference of images with serving tasks.
 */
import test from "ava";
import { InterferenceEstimator } from "../../../src/coordination/pool/InterferenceEstimator.ts";

const GROUP = { image: "serving-a", step: "job.0.0" };
const MEASUREMENT_INTERVAL_MS = 450;
const BASELINE_SPEED = 2.6;

/** Passes measurements of serving tasks beside an image that runs intermittently. */
function observeImage(estimator: InterferenceEstimator, image: string, interference: number): void {
  Array.from({ length: 24 }, (_, index) => index).forEach((index) => {
    const used = index % 8 < 4 ? 0.3 : 0;
    const speed = BASELINE_SPEED - interference * used;
    const uses = [{ image, used }];
    estimator.observe(GROUP, { speed, isFalling: false }, uses, index * MEASUREMENT_INTERVAL_MS);
  });
}

function getSlowdown(estimator: InterferenceEstimator, image: string): number {
  const { mean: alone } = estimator.predict(GROUP, []);
  const { mean: beside } = estimator.predict(GROUP, [{ image, used: 1 }]);
  return alone - beside;
}

test("InterferenceEstimator distinguishes a heavy image from a harmless one", (t) => {
  const estimator = new InterferenceEstimator();
  observeImage(estimator, "heavy", 5);
  observeImage(estimator, "light", 0);
  t.true(Math.abs(getSlowdown(estimator, "heavy") - 5) < 1, `${getSlowdown(estimator, "heavy")}`);
  t.true(getSlowdown(estimator, "light") < 0.5, `${getSlowdown(estimator, "light")}`);
});

test("InterferenceEstimator does not attribute load changes to an image whose usage is constant", (t) => {
  const estimator = new InterferenceEstimator();
  observeImage(estimator, "light", 0);
  Array.from({ length: 12 }, (_, index) => index).forEach((index) => {
    const speed = BASELINE_SPEED - 0.08 * index;
    const now = (24 + index) * MEASUREMENT_INTERVAL_MS;
    estimator.observe(GROUP, { speed, isFalling: false }, [{ image: "light", used: 0.3 }], now);
  });
  t.true(getSlowdown(estimator, "light") < 1, `${getSlowdown(estimator, "light")}`);
});

test("InterferenceEstimator is hardly affected by a single outlier", (t) => {
  const estimator = new InterferenceEstimator();
  observeImage(estimator, "light", 0);
  const uses = [{ image: "light", used: 0.3 }];
  estimator.observe(GROUP, { speed: 0.1, isFalling: false }, uses, 24 * MEASUREMENT_INTERVAL_MS);
  t.true(getSlowdown(estimator, "light") < 2.5, `${getSlowdown(estimator, "light")}`);
});

test("InterferenceEstimator continues from the estimates of a previous one", (t) => {
  const first = new InterferenceEstimator();
  observeImage(first, "heavy", 5);
  const second = new InterferenceEstimator(first.getPairs());
  t.true(Math.abs(getSlowdown(second, "heavy") - getSlowdown(first, "heavy")) < 0.01);
  t.deepEqual(
    second.getPairs().map(({ serving, image }) => [serving, image]),
    [["serving-a", "heavy"]],
  );
});

test("InterferenceEstimator keeps a bounded number of pairs, the most recently observed ones", (t) => {
  const priors = Array.from({ length: 2_500 }, (_, index) => {
    return { serving: "serving-a", image: `idle-${index}`, mean: 1, variance: 1 };
  });
  const pairs = new InterferenceEstimator(priors).getPairs();
  t.is(pairs.length, 2_000);
  t.is(pairs.at(-1)?.image, "idle-2499");
});
