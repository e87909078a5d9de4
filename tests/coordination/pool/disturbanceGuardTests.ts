/**
 * Tests of how tasks on idle processors make way for tasks that serve users. The loads are those of
 * workers on which most pairs of images are harmless and one presses hard.
 */
import test from "ava";
import {
  DisturbanceGuard,
  type DisturbanceDecision,
  type IdleRun,
} from "../../../src/coordination/pool/DisturbanceGuard.ts";
import {
  PressureEstimator,
  type ServingMeasure,
} from "../../../src/coordination/pool/PressureEstimator.ts";

const WORKER = "worker-1";
const STEP_MS = 450;
const TARGET_MS = 40;

function createServing(currentMs: number, tailMs = currentMs): ServingMeasure {
  return { image: "serving-a", targetMs: TARGET_MS, tailMs, currentMs };
}

function createRun(image: string, percent = 100): IdleRun {
  return { key: `run-${image}`, image, usedMilli: percent * 20, percent };
}

function decide(
  guard: DisturbanceGuard,
  step: number,
  serving: ServingMeasure,
  runs: readonly IdleRun[],
): DisturbanceDecision {
  return guard.decide({ worker: WORKER, serving: [serving], runs, now: step * STEP_MS });
}

test("DisturbanceGuard leaves all at work while targets are kept, whatever the serving load", (t) => {
  const guard = new DisturbanceGuard(new PressureEstimator());
  const runs = [createRun("idle-a"), createRun("idle-b")];
  [12, 25, 30, 18, 12].forEach((tailMs, step) => {
    t.deepEqual(decide(guard, step, createServing(tailMs), runs), { moves: [], paces: [] });
  });
  t.false(guard.isDisturbing(["serving-a"], "idle-a", 5 * STEP_MS));
});

test("DisturbanceGuard has all suspects stand still, then finds the one to blame", (t) => {
  const guard = new DisturbanceGuard(new PressureEstimator());
  const names = ["idle-a", "idle-b", "idle-c"];
  const first = decide(
    guard,
    0,
    createServing(60),
    names.map((name) => createRun(name)),
  );
  t.deepEqual(first.moves, []);
  t.deepEqual(
    first.paces.map(({ percent }) => percent),
    [0, 0, 0],
  );
  const still = names.map((name) => createRun(name, 0));
  const second = decide(guard, 1, createServing(5, 50), still);
  t.is(second.paces.length, 1);
  const tested = second.paces[0]?.key ?? "";
  const testing = still.map((run) => (run.key === tested ? createRun(run.image) : run));
  const third = decide(guard, 2, createServing(70), testing);
  t.deepEqual(third.moves, [tested]);
  t.true(guard.isDisturbing(["serving-a"], tested.replace("run-", ""), 2 * STEP_MS));
});

test("DisturbanceGuard blames the only image there without a further test", (t) => {
  const guard = new DisturbanceGuard(new PressureEstimator());
  decide(guard, 0, createServing(44), [createRun("idle-a")]);
  const second = decide(guard, 1, createServing(5, 30), [createRun("idle-a", 0)]);
  t.deepEqual(second.moves, ["run-idle-a"]);
});

test("DisturbanceGuard lets an image go on that a test has cleared", (t) => {
  const guard = new DisturbanceGuard(new PressureEstimator());
  const names = ["idle-a", "idle-b"];
  decide(
    guard,
    0,
    createServing(44),
    names.map((name) => createRun(name)),
  );
  const still = names.map((name) => createRun(name, 0));
  const tested = decide(guard, 1, createServing(5), still).paces[0]?.key ?? "";
  const testing = still.map((run) => (run.key === tested ? createRun(run.image) : run));
  const last = decide(guard, 4, createServing(10), testing);
  t.deepEqual(last.moves, [still.find(({ key }) => key !== tested)?.key ?? ""]);
  t.false(guard.isDisturbing(["serving-a"], tested.replace("run-", ""), 4 * STEP_MS));
});

test("DisturbanceGuard moves an image at once that is known to press on a serving one", (t) => {
  const estimator = new PressureEstimator();
  estimator.settle("serving-a", "idle-a", 0.8, 0);
  const guard = new DisturbanceGuard(estimator);
  const decision = decide(guard, 1, createServing(90), [createRun("idle-a"), createRun("idle-b")]);
  t.deepEqual(decision.moves, ["run-idle-a"]);
  t.deepEqual(decision.paces, [{ key: "run-idle-a", percent: 0 }]);
});

test("DisturbanceGuard has all stand still where a serving task stays over its target", (t) => {
  const guard = new DisturbanceGuard(new PressureEstimator());
  const runs = ["a", "b", "c"].map((name) => createRun(`idle-${name}`));
  decide(guard, 0, createServing(90), runs);
  const late = decide(guard, 5, createServing(90), runs);
  t.is(late.paces.filter(({ percent }) => percent === 0).length, 3);
  const stopped = runs.map(({ image }) => createRun(image, 0));
  const recovered = decide(guard, 6, createServing(10), stopped);
  t.true(recovered.paces.some(({ percent }) => percent === 100));
});

test("DisturbanceGuard has all stand still where a rough measure stays just below the target", (t) => {
  const guard = new DisturbanceGuard(new PressureEstimator());
  const runs = [createRun("idle-a"), createRun("idle-b")];
  t.deepEqual(decide(guard, 0, createServing(38), runs).paces, []);
  const late = decide(guard, 5, createServing(38), runs);
  t.deepEqual(
    late.paces.map(({ percent }) => percent),
    [0, 0],
  );
});

test("PressureEstimator forgets a pair that has not been seen for long", (t) => {
  const estimator = new PressureEstimator();
  estimator.settle("serving-a", "idle-a", 0.5, 0);
  const guard = new DisturbanceGuard(estimator);
  t.true(guard.isDisturbing(["serving-a"], "idle-a", 1_000));
  t.false(guard.isDisturbing(["serving-a"], "idle-a", 30_000));
});
