/**
 * Property-based test with random histories of an owner and two agents: messages are delayed,
 * repeated and reordered, calls to workers fail or hang, and agents are disconnected, paused and
 * restarted.
 */
import test from "ava";
import fc from "fast-check";
import { TaskServiceSimulation } from "../../../support/TaskServiceSimulation.ts";

const SEED = Number(process.env.FIREFLYLB_SEED ?? 20_262);
const RUNS = Number(process.env.FIREFLYLB_RUNS ?? 300);

const vm = fc.nat(1);
const task = fc.nat(3);
const call = fc.constantFrom("start", "stop", "renew", "report");

const on = fc.constantFrom(true, false, false);

const stepArbitrary = fc.oneof(
  {
    weight: 10,
    arbitrary: fc.record({
      op: fc.constant("start" as const),
      task,
      vm,
      cores: fc.constantFrom(1, 2),
    }),
  },
  {
    weight: 20,
    arbitrary: fc.record({
      op: fc.constant("deliver" as const),
      message: fc.nat(5),
      repeats: fc.boolean(),
    }),
  },
  {
    weight: 12,
    arbitrary: fc.record({
      op: fc.constant("advance" as const),
      ms: fc.integer({ min: 10, max: 1_200 }),
    }),
  },
  { weight: 1, arbitrary: fc.record({ op: fc.constant("heartbeat" as const), vm }) },
  { weight: 2, arbitrary: fc.record({ op: fc.constant("stop" as const), task }) },
  { weight: 1, arbitrary: fc.record({ op: fc.constant("finish" as const), task }) },
  { weight: 2, arbitrary: fc.record({ op: fc.constant("cut" as const), vm, on }) },
  { weight: 2, arbitrary: fc.record({ op: fc.constant("pause" as const), vm, on }) },
  {
    weight: 2,
    arbitrary: fc.record({ op: fc.constant("fail" as const), vm, call, acts: fc.boolean() }),
  },
  { weight: 2, arbitrary: fc.record({ op: fc.constant("hold" as const), vm, call }) },
  { weight: 4, arbitrary: fc.record({ op: fc.constant("release" as const), vm }) },
  { weight: 1, arbitrary: fc.record({ op: fc.constant("restart" as const), vm }) },
);

type Step = typeof stepArbitrary extends fc.Arbitrary<infer T> ? T : never;

async function applyStep(simulation: TaskServiceSimulation, step: Step): Promise<void> {
  switch (step.op) {
    case "start":
      simulation.start(step.task, step.vm, step.cores);
      return;
    case "deliver":
      await simulation.deliver(step.message, step.repeats);
      return;
    case "advance":
      await simulation.advance(step.ms);
      return;
    case "heartbeat":
      simulation.heartbeat(step.vm);
      return;
    case "stop":
      simulation.stop(step.task);
      return;
    case "finish":
      simulation.finish(step.task);
      return;
    case "cut":
      simulation.cut(step.vm, step.on);
      return;
    case "pause":
      await simulation.pause(step.vm, step.on);
      return;
    case "fail":
      simulation.fail(step.vm, step.call, step.acts);
      return;
    case "hold":
      await simulation.hold(step.vm, step.call);
      return;
    case "release":
      await simulation.hold(step.vm, undefined);
      return;
    case "restart":
      await simulation.restart(step.vm);
  }
}

test("TaskService runs no task twice and no VM beyond its capacity in any history", async (t) => {
  t.log(`seed ${SEED}, ${RUNS} histories`);
  let accepted = 0;
  await fc.assert(
    fc.asyncProperty(fc.array(stepArbitrary, { minLength: 100, maxLength: 200 }), async (steps) => {
      const simulation = new TaskServiceSimulation();
      await simulation.startAgents();
      simulation.heartbeat(0);
      simulation.heartbeat(1);
      for (const step of steps) {
        await applyStep(simulation, step);
      }
      accepted += simulation.accepted;
    }),
    { seed: SEED, numRuns: RUNS, includeErrorInReport: true },
  );
  t.log(`${accepted} starts were accepted`);
  t.true(accepted > RUNS, `only ${accepted} starts were accepted`);
});
