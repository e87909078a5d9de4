import test from "ava";
import { TransitDelayEstimator } from "../../../src/coordination/requests/TransitDelayEstimator.ts";

test("TransitDelayEstimator detects a delayed message regardless of the clock offset", (t) => {
  const estimator = new TransitDelayEstimator();
  t.is(estimator.estimateDelay("entry", 1_000_000, 10), 0);
  t.is(estimator.estimateDelay("entry", 1_000_100, 111), 1);
  t.is(estimator.estimateDelay("entry", 1_000_200, 5_210), 5_000);
});

test("TransitDelayEstimator follows clock drift with its windows", (t) => {
  const estimator = new TransitDelayEstimator();
  estimator.estimateDelay("entry", 0, 0);
  // The receiver's clock gains 100 ms per window; after two windows the first offset has expired.
  estimator.estimateDelay("entry", 60_000, 60_100);
  estimator.estimateDelay("entry", 120_000, 120_200);
  t.true(estimator.estimateDelay("entry", 120_001, 120_201) <= 100);
});
