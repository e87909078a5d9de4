/**
 * Tests of what is learnt of images that press on serving tasks.
 */
import test from "ava";
import { InterferenceEstimator } from "../../../src/coordination/pool/InterferenceEstimator.ts";

const GROUP = { image: "serving-a", step: "job.0.0" };
const MEASUREMENT_INTERVAL_MS = 450;
const BASELINE_SPEED = 2.6;

/** Has an estimator see an image come and go beside serving tasks. */
function observeImage(estimator: InterferenceEstimator, image: string, pressure: number): void {
  Array.from({ length: 24 }, (_, index) => index).forEach((index) => {
    const used = index % 8 < 4 ? 0.3 : 0;
    const speed = BASELINE_SPEED - pressure * used;
    const uses = [{ image, used }];
    estimator.observe(GROUP, { speed, isFalling: false }, uses, index * MEASUREMENT_INTERVAL_MS);
  });
}

function getSlowdown(estimator: InterferenceEstimator, image: string): number {
  const { mean: alone } = estimator.predict(GROUP, []);
  const { mean: beside } = estimator.predict(GROUP, [{ image, used: 1 }]);
  return alone - beside;
}

test("PressureEstimator tells a heavy image from a harmless one", (t) => {
  const estimator = new InterferenceEstimator();
  observeImage(estimator, "heavy", 5);
  observeImage(estimator, "light", 0);
  t.true(Math.abs(getSlowdown(estimator, "heavy") - 5) < 1, `${getSlowdown(estimator, "heavy")}`);
  t.true(getSlowdown(estimator, "light") < 0.5, `${getSlowdown(estimator, "light")}`);
});

test("PressureEstimator does not blame an image for a load that swings while it uses the same", (t) => {
  const estimator = new InterferenceEstimator();
  observeImage(estimator, "light", 0);
  Array.from({ length: 12 }, (_, index) => index).forEach((index) => {
    const speed = BASELINE_SPEED - 0.08 * index;
    const now = (24 + index) * MEASUREMENT_INTERVAL_MS;
    estimator.observe(GROUP, { speed, isFalling: false }, [{ image: "light", used: 0.3 }], now);
  });
  t.true(getSlowdown(estimator, "light") < 1, `${getSlowdown(estimator, "light")}`);
});

test("PressureEstimator is moved little by one measure out of line", (t) => {
  const estimator = new InterferenceEstimator();
  observeImage(estimator, "light", 0);
  const uses = [{ image: "light", used: 0.3 }];
  estimator.observe(GROUP, { speed: 0.1, isFalling: false }, uses, 24 * MEASUREMENT_INTERVAL_MS);
  t.true(getSlowdown(estimator, "light") < 2.5, `${getSlowdown(estimator, "light")}`);
});

test("PressureEstimator goes on from what another one has learnt", (t) => {
  const first = new InterferenceEstimator();
  observeImage(first, "heavy", 5);
  const second = new InterferenceEstimator(first.getPairs());
  t.true(Math.abs(getSlowdown(second, "heavy") - getSlowdown(first, "heavy")) < 0.01);
  t.deepEqual(
    second.getPairs().map(({ serving, image }) => [serving, image]),
    [["serving-a", "heavy"]],
  );
});

test("PressureEstimator remembers a bounded number of pairs, the ones seen last", (t) => {
  const learnt = Array.from({ length: 2_500 }, (_, index) => {
    return { serving: "serving-a", image: `idle-${index}`, mean: 1, variance: 1 };
  });
  const pairs = new InterferenceEstimator(learnt).getPairs();
  t.is(pairs.length, 2_000);
  t.is(pairs.at(-1)?.image, "idle-2499");
});
