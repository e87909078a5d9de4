/**
 * Tests of parsing the values of worker pools in the store.
 */
import test from "ava";
import { InterferenceEstimator } from "../../../src/coordination/pool/InterferenceEstimator.ts";
import { parseInterferenceRecord } from "../../../src/state/pool/records.ts";

const PAIR = { serving: "serving-a", image: "heavy", mean: 1, variance: 1 };

// Guards against estimates of another writer that a scheduler inherits and that keep an image from
// every worker, or with which nothing can be computed.
test("parseInterferenceRecord rejects estimates that cannot be right", (t) => {
  const odd = [1e308, 2 ** 53, 1e6, -1, "1", null].flatMap((value) => [
    { ...PAIR, mean: value },
    { ...PAIR, variance: value },
  ]);
  const accepted = odd.filter((pair) =>
    parseInterferenceRecord(JSON.stringify({ pairs: [pair] })).isOk(),
  );
  t.deepEqual(accepted, []);
});

test("parseInterferenceRecord accepts what an estimator gives", (t) => {
  const pairs = new InterferenceEstimator([{ ...PAIR, mean: 8, variance: 7 }]).getPairs();
  const parsed = parseInterferenceRecord(JSON.stringify({ pairs }));
  t.deepEqual(parsed._unsafeUnwrap().pairs, pairs);
});
