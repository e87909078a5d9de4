/**
 * Random histories of an owner and two agents: messages late, repeated and out of order, calls to
 * workers that fail or hang, agents cut off, paused and restarted.
 */
import test from "ava";
import fc from "fast-check";
import { BatchWorld } from "../../../support/BatchWorld.ts";

const SEED = Number(process.env.FIREFLYLB_SEED ?? 20_262);
const RUNS = Number(process.env.FIREFLYLB_RUNS ?? 300);

const vm = fc.nat(1);
const task = fc.nat(3);
const call = fc.constantFrom("start", "stop", "renew", "report");

const on = fc.constantFrom(true, false, false);

const step = fc.oneof(
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

type Step = typeof step extends fc.Arbitrary<infer T> ? T : never;

async function run(world: BatchWorld, chosen: Step): Promise<void> {
  switch (chosen.op) {
    case "start":
      world.start(chosen.task, chosen.vm, chosen.cores);
      return;
    case "deliver":
      await world.deliver(chosen.message, chosen.repeats);
      return;
    case "advance":
      await world.advance(chosen.ms);
      return;
    case "heartbeat":
      world.heartbeat(chosen.vm);
      return;
    case "stop":
      world.stop(chosen.task);
      return;
    case "finish":
      world.finish(chosen.task);
      return;
    case "cut":
      world.cut(chosen.vm, chosen.on);
      return;
    case "pause":
      await world.pause(chosen.vm, chosen.on);
      return;
    case "fail":
      world.fail(chosen.vm, chosen.call, chosen.acts);
      return;
    case "hold":
      await world.hold(chosen.vm, chosen.call);
      return;
    case "release":
      await world.hold(chosen.vm, undefined);
      return;
    case "restart":
      await world.restart(chosen.vm);
  }
}

test("TaskService runs no task twice and no VM beyond its capacity in any history", async (t) => {
  t.log(`seed ${SEED}, ${RUNS} histories`);
  let accepted = 0;
  await fc.assert(
    fc.asyncProperty(fc.array(step, { minLength: 100, maxLength: 200 }), async (steps) => {
      const world = new BatchWorld();
      await world.open();
      world.heartbeat(0);
      world.heartbeat(1);
      for (const chosen of steps) {
        await run(world, chosen);
      }
      accepted += world.accepted;
    }),
    { seed: SEED, numRuns: RUNS, includeErrorInReport: true },
  );
  t.log(`${accepted} starts were accepted`);
  t.true(accepted > RUNS, `only ${accepted} starts were accepted`);
});
