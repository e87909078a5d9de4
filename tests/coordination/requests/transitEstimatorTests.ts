import test from "ava";
import { TransitEstimator } from "../../../src/coordination/requests/TransitEstimator.ts";

test("TransitEstimator tells a delayed message from one in time, whatever the clocks' offset", (t) => {
  const estimator = new TransitEstimator();
  t.is(estimator.note("entry", 1_000_000, 10), 0);
  t.is(estimator.note("entry", 1_000_100, 111), 1);
  t.is(estimator.note("entry", 1_000_200, 5_210), 5_000);
});

test("TransitEstimator follows drifting clocks by windows", (t) => {
  const estimator = new TransitEstimator();
  estimator.note("entry", 0, 0);
  // The receiver's clock gains 100 ms in each window; two windows later the first offset is gone.
  estimator.note("entry", 60_000, 60_100);
  estimator.note("entry", 120_000, 120_200);
  t.true(estimator.note("entry", 120_001, 120_201) <= 100);
});
