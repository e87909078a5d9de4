import test from "ava";
import { SizeCorrector } from "../../../src/coordination/placement/SizeCorrector.ts";
import { cores } from "../../support/placementFixtures.ts";

function note(corrector: SizeCorrector, count: number, usedCores: number, ranMs = 2_000): void {
  Array.from({ length: count }).forEach(() => {
    const used = cores(usedCores);
    corrector.record({ kind: "k", declared: cores(2), used, declaredRunMs: 1_000, ranMs });
  });
}

test("SizeCorrector leaves sizes as declared until it has seen enough of a kind", (t) => {
  const corrector = new SizeCorrector();
  note(corrector, 7, 4);
  t.deepEqual(corrector.getSize("k", cores(2)), cores(2));
  t.is(corrector.getRunMs("k", 1_000), 1_000);
});

test("SizeCorrector scales sizes and run times by what was used, with a margin", (t) => {
  const corrector = new SizeCorrector();
  note(corrector, 8, 3);
  t.deepEqual(corrector.getSize("k", cores(2)), { ...cores(3.3) });
  t.is(Math.round(corrector.getRunMs("k", 1_000)), 2_200);
  t.deepEqual(corrector.getSize("other", cores(2)), cores(2));
});

test("SizeCorrector bounds its corrections and follows a change of the kind", (t) => {
  const corrector = new SizeCorrector();
  note(corrector, 64, 0.01);
  t.deepEqual(corrector.getSize("k", cores(2)), cores(0.5));
  note(corrector, 64, 100);
  t.deepEqual(corrector.getSize("k", cores(2)), cores(8));
});
