/**
 * Tests of how tasks on idle processors make way for tasks that serve users. The load pattern is
 * that of a VM on which the load of serving steps swings, most pairs of images are harmless, and a
 * few press so hard that some of their tasks put the serving ones over their target.
 */
import test from "ava";
import { DisturbanceLimiter } from "../../../src/coordination/pool/DisturbanceLimiter.ts";
import { InterferenceEstimator } from "../../../src/coordination/pool/InterferenceEstimator.ts";
import { SharedVm, TARGET_MS, type SharedStep } from "../../support/SharedVm.ts";

const WORKER = "worker-1";
/** Time between two measures of a worker. */
const MEASUREMENT_INTERVAL_MS = 450;
/** The platform's bound on how long a task may be over its target on end. */
const MAX_OVER_TARGET_MS = 4_000;
const HEAVY_INTERFERENCE = 1.2;
const STEPS: readonly SharedStep[] = [
  { image: "serving-a", shiftMs: 0 },
  { image: "serving-b", shiftMs: 5_000 },
];

function createVm(pressures: Readonly<Record<string, number>>, steps = STEPS): SharedVm {
  return new SharedVm(steps, new Map(Object.entries(pressures)));
}

function createLimiter(): DisturbanceLimiter {
  return new DisturbanceLimiter(new InterferenceEstimator());
}

function addRuns(vm: SharedVm, image: string, count: number, demand = 0.1): void {
  Array.from({ length: count }, (_, index) => `${image}-${index}`).forEach((key) => {
    vm.add({ key, image, demand });
  });
}

/** Lets a guard look after a VM; gives the runs that it would move. */
function runLimiter(vm: SharedVm, guard: DisturbanceLimiter, ms: number): ReadonlySet<string> {
  const moves = Array.from({ length: Math.floor(ms / MEASUREMENT_INTERVAL_MS) }).flatMap(() => {
    vm.advance(MEASUREMENT_INTERVAL_MS);
    const decision = guard.decide({ worker: WORKER, ...vm.measure(), now: vm.now });
    decision.paces.forEach(({ key, percent }) => {
      vm.pace(key, percent);
    });
    return decision.moves;
  });
  return new Set(moves);
}

test("DisturbanceGuard lets images work in full that disturb nobody, whatever the load", (t) => {
  const vm = createVm({});
  const guard = createLimiter();
  runLimiter(vm, guard, 5_000);
  addRuns(vm, "idle-a", 2);
  addRuns(vm, "idle-b", 2);
  const moves = runLimiter(vm, guard, 30_000);
  t.is(vm.overMs, 0);
  t.true(vm.getWorkShare("idle-a") > 1.2);
  t.true(vm.getWorkShare("idle-b") > 1.2);
  t.is(moves.size, 0);
});

test("DisturbanceGuard holds a heavy image to what the serving tasks bear", (t) => {
  const unguarded = createVm({ "serving-a heavy": HEAVY_INTERFERENCE });
  addRuns(unguarded, "heavy", 6);
  unguarded.advance(30_000);
  const vm = createVm({ "serving-a heavy": HEAVY_INTERFERENCE });
  addRuns(vm, "heavy", 6);
  runLimiter(vm, createLimiter(), 30_000);
  t.true(unguarded.longestOverMs > MAX_OVER_TARGET_MS);
  t.true(vm.longestOverMs < MAX_OVER_TARGET_MS);
  t.true(vm.overMs < unguarded.overMs / 4, `${vm.overMs} of ${unguarded.overMs} ms`);
  t.true(vm.getWorkShare("heavy") > 0);
});

test("DisturbanceGuard finds the heavy image among harmless ones and moves only that one", (t) => {
  const vm = createVm({ "serving-a heavy": 2 * HEAVY_INTERFERENCE });
  const guard = createLimiter();
  addRuns(vm, "idle-a", 1);
  addRuns(vm, "idle-b", 1);
  runLimiter(vm, guard, 8_000);
  addRuns(vm, "heavy", 3);
  runLimiter(vm, guard, 4_000);
  const moves = runLimiter(vm, guard, 18_000);
  t.true(moves.size > 0);
  t.true(
    [...moves].every((key) => key.startsWith("heavy")),
    [...moves].join(" "),
  );
  t.true(vm.longestOverMs < MAX_OVER_TARGET_MS);
});

test("DisturbanceGuard has a new image show itself in small doses", (t) => {
  const guard = createLimiter();
  const vm = createVm({});
  runLimiter(vm, guard, 5_000);
  const unknown = guard.getToleratedShare(WORKER, ["serving-a", "serving-b"], "idle-a");
  addRuns(vm, "idle-a", 2);
  runLimiter(vm, guard, 10_000);
  const known = guard.getToleratedShare(WORKER, ["serving-a", "serving-b"], "idle-a");
  t.true(unknown > 0 && unknown < 0.5, `${unknown}`);
  t.true(known > unknown, `${known} after ${unknown}`);
});

test("DisturbanceGuard tells placement where an image is too heavy, and on which it is not", (t) => {
  const guard = createLimiter();
  const vm = createVm({ "serving-a heavy": 2 * HEAVY_INTERFERENCE }, STEPS.slice(0, 1));
  addRuns(vm, "heavy", 3);
  runLimiter(vm, guard, 10_000);
  t.true(guard.getToleratedShare("worker-2", ["serving-a"], "heavy") < 0.3);
  t.is(guard.getToleratedShare("worker-2", [], "heavy"), 1);
});

test("DisturbanceGuard has all stand still where a serving task stays near its target", (t) => {
  const guard = createLimiter();
  const serving = [
    { image: "serving-a", step: "job.0.0", targetMs: TARGET_MS, tailMs: 43, currentMs: 10 },
  ];
  const run = { key: "run", image: "idle-a", used: 0.05, percent: 100, demand: 0.05 };
  const decide = (now: number) => guard.decide({ worker: WORKER, serving, runs: [run], now });
  decide(0);
  t.deepEqual(decide(2_000).paces, [{ key: "run", percent: 0 }]);
});

test("DisturbanceGuard lets all work where nobody serves", (t) => {
  const guard = createLimiter();
  const run = { key: "run", image: "idle-a", used: 0, percent: 50, demand: 0.5 };
  const decision = guard.decide({ worker: WORKER, serving: [], runs: [run], now: 0 });
  t.deepEqual(decision, { moves: [], paces: [{ key: "run", percent: 100 }] });
});
