/**
 * Tests that tasks on idle processors yield to serving tasks. The simulated VM is one on which the
 * load of serving steps varies, most pairs of images are harmless, and a few interfere so strongly
 * that some of their tasks push the serving tasks over their target.
 */
import test from "ava";
import { DisturbanceLimiter } from "../../../src/coordination/pool/DisturbanceLimiter.ts";
import { InterferenceEstimator } from "../../../src/coordination/pool/InterferenceEstimator.ts";
import {
  SharedVmSimulation,
  LATENCY_TARGET_MS,
  type ServingStep,
} from "../../support/SharedVmSimulation.ts";

const WORKER = "worker-1";
/** Time between two measurements of a worker. */
const MEASUREMENT_INTERVAL_MS = 450;
/** The platform's limit on how long a task may be over its target without interruption. */
const MAX_OVER_TARGET_MS = 4_000;
const HEAVY_INTERFERENCE = 1.2;
const STEPS: readonly ServingStep[] = [
  { image: "serving-a", shiftMs: 0 },
  { image: "serving-b", shiftMs: 5_000 },
];

function createVm(
  interference: Readonly<Record<string, number>>,
  steps = STEPS,
): SharedVmSimulation {
  return new SharedVmSimulation(steps, new Map(Object.entries(interference)));
}

function createLimiter(): DisturbanceLimiter {
  return new DisturbanceLimiter(new InterferenceEstimator());
}

function addRuns(vm: SharedVmSimulation, image: string, count: number, demand = 0.1): void {
  Array.from({ length: count }, (_, index) => `${image}-${index}`).forEach((key) => {
    vm.add({ key, image, demand });
  });
}

/** Lets a limiter control a VM for a while; returns the runs that it would move. */
function runLimiter(
  vm: SharedVmSimulation,
  limiter: DisturbanceLimiter,
  ms: number,
): ReadonlySet<string> {
  const moves = Array.from({ length: Math.floor(ms / MEASUREMENT_INTERVAL_MS) }).flatMap(() => {
    vm.advance(MEASUREMENT_INTERVAL_MS);
    const decision = limiter.decide({ worker: WORKER, ...vm.measure(), now: vm.now });
    decision.paces.forEach(({ key, percent }) => {
      vm.pace(key, percent);
    });
    return decision.moves;
  });
  return new Set(moves);
}

test("DisturbanceLimiter runs images that disturb nobody at full speed under any load", (t) => {
  const vm = createVm({});
  const limiter = createLimiter();
  runLimiter(vm, limiter, 5_000);
  addRuns(vm, "idle-a", 2);
  addRuns(vm, "idle-b", 2);
  const moves = runLimiter(vm, limiter, 30_000);
  t.is(vm.overTargetMs, 0);
  t.true(vm.getWorkShare("idle-a") > 1.2);
  t.true(vm.getWorkShare("idle-b") > 1.2);
  t.is(moves.size, 0);
});

test("DisturbanceLimiter limits a heavy image to what the serving tasks tolerate", (t) => {
  const unlimited = createVm({ "serving-a heavy": HEAVY_INTERFERENCE });
  addRuns(unlimited, "heavy", 6);
  unlimited.advance(30_000);
  const vm = createVm({ "serving-a heavy": HEAVY_INTERFERENCE });
  addRuns(vm, "heavy", 6);
  runLimiter(vm, createLimiter(), 30_000);
  t.true(unlimited.maxOverTargetMs > MAX_OVER_TARGET_MS);
  t.true(vm.maxOverTargetMs < MAX_OVER_TARGET_MS);
  t.true(
    vm.overTargetMs < unlimited.overTargetMs / 4,
    `${vm.overTargetMs} of ${unlimited.overTargetMs} ms`,
  );
  t.true(vm.getWorkShare("heavy") > 0);
});

test("DisturbanceLimiter identifies the heavy image among harmless ones and moves only its runs", (t) => {
  const vm = createVm({ "serving-a heavy": 2 * HEAVY_INTERFERENCE });
  const limiter = createLimiter();
  addRuns(vm, "idle-a", 1);
  addRuns(vm, "idle-b", 1);
  runLimiter(vm, limiter, 8_000);
  addRuns(vm, "heavy", 3);
  runLimiter(vm, limiter, 4_000);
  const moves = runLimiter(vm, limiter, 18_000);
  t.true(moves.size > 0);
  t.true(
    [...moves].every((key) => key.startsWith("heavy")),
    [...moves].join(" "),
  );
  t.true(vm.maxOverTargetMs < MAX_OVER_TARGET_MS);
});

test("DisturbanceLimiter tolerates a small share of an unknown image and more once it proves harmless", (t) => {
  const limiter = createLimiter();
  const vm = createVm({});
  runLimiter(vm, limiter, 5_000);
  const before = limiter.getToleratedShare(WORKER, ["serving-a", "serving-b"], "idle-a");
  addRuns(vm, "idle-a", 2);
  runLimiter(vm, limiter, 10_000);
  const after = limiter.getToleratedShare(WORKER, ["serving-a", "serving-b"], "idle-a");
  t.true(before > 0 && before < 0.5, `${before}`);
  t.true(after > before, `${after} after ${before}`);
});

test("DisturbanceLimiter reports a low tolerated share only beside tasks that the image disturbs", (t) => {
  const limiter = createLimiter();
  const vm = createVm({ "serving-a heavy": 2 * HEAVY_INTERFERENCE }, STEPS.slice(0, 1));
  addRuns(vm, "heavy", 3);
  runLimiter(vm, limiter, 10_000);
  t.true(limiter.getToleratedShare("worker-2", ["serving-a"], "heavy") < 0.3);
  t.is(limiter.getToleratedShare("worker-2", [], "heavy"), 1);
});

test("DisturbanceLimiter pauses all runs when a serving task stays close to its target", (t) => {
  const limiter = createLimiter();
  const serving = [
    { image: "serving-a", step: "job.0.0", targetMs: LATENCY_TARGET_MS, tailMs: 43, currentMs: 10 },
  ];
  const run = { key: "run", image: "idle-a", used: 0.05, percent: 100, demand: 0.05 };
  const decide = (now: number) => limiter.decide({ worker: WORKER, serving, runs: [run], now });
  decide(0);
  t.deepEqual(decide(2_000).paces, [{ key: "run", percent: 0 }]);
});

// Guards against an earlier order of a higher pace that the worker executes after the pause.
test("DisturbanceLimiter pauses a run again that still works", (t) => {
  const limiter = createLimiter();
  const serving = [
    { image: "serving-a", step: "job.0.0", targetMs: LATENCY_TARGET_MS, tailMs: 43, currentMs: 10 },
  ];
  const decide = (now: number, used: number) => {
    const run = { key: "run", image: "idle-a", used, percent: 0, demand: 0.05 };
    return limiter.decide({ worker: WORKER, serving, runs: [run], now }).paces;
  };
  decide(0, 0);
  t.deepEqual(decide(2_000, 0), []);
  t.deepEqual(decide(2_450, 0.05), [{ key: "run", percent: 0 }]);
  t.deepEqual(decide(2_900, 0), []);
});

test("DisturbanceLimiter runs everything at full speed without serving tasks", (t) => {
  const limiter = createLimiter();
  const run = { key: "run", image: "idle-a", used: 0, percent: 50, demand: 0.5 };
  const decision = limiter.decide({ worker: WORKER, serving: [], runs: [run], now: 0 });
  t.deepEqual(decision, { moves: [], paces: [{ key: "run", percent: 100 }] });
});
