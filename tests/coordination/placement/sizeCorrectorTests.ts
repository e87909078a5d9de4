import test from "ava";
import { SizeCorrector } from "../../../src/coordination/placement/SizeCorrector.ts";
import { cores } from "../../support/placementFixtures.ts";

function recordSamples(
  corrector: SizeCorrector,
  count: number,
  usedCores: number,
  ranMs = 2_000,
): void {
  Array.from({ length: count }).forEach(() => {
    const used = cores(usedCores);
    corrector.record({ kind: "k", declared: cores(2), used, declaredRunMs: 1_000, ranMs });
  });
}

test("SizeCorrector keeps declared resources until it has enough samples of a kind", (t) => {
  const corrector = new SizeCorrector();
  recordSamples(corrector, 7, 4);
  t.deepEqual(corrector.getSize("k", cores(2)), cores(2));
  t.is(corrector.getRunMs("k", 1_000), 1_000);
});

test("SizeCorrector scales resources and run times by past usage with a margin", (t) => {
  const corrector = new SizeCorrector();
  recordSamples(corrector, 8, 3);
  t.deepEqual(corrector.getSize("k", cores(2)), { ...cores(3.3) });
  t.is(Math.round(corrector.getRunMs("k", 1_000)), 2_200);
  t.deepEqual(corrector.getSize("other", cores(2)), cores(2));
});

test("SizeCorrector limits its corrections and follows changes in the usage of a kind", (t) => {
  const corrector = new SizeCorrector();
  recordSamples(corrector, 64, 0.01);
  t.deepEqual(corrector.getSize("k", cores(2)), cores(0.5));
  recordSamples(corrector, 64, 100);
  t.deepEqual(corrector.getSize("k", cores(2)), cores(8));
});
