import test from "ava";
import { DisturbanceEstimator } from "../../../src/coordination/disturbance/DisturbanceEstimator.ts";
import { YieldController } from "../../../src/coordination/disturbance/YieldController.ts";
import type {
  YieldAction,
  YieldInput,
  YieldTask,
} from "../../../src/coordination/disturbance/YieldInput.ts";
import type { Profile } from "../../../src/protocol/config/ConfigDocument.ts";
import { SAMPLE_PROFILE } from "../../support/configSamples.ts";

const BASELINE_MS = 40;
const CAPACITY_MILLI = 32_000;
const TICK_MS = 500;
const HEAT_PROFILE: Profile = {
  ...SAMPLE_PROFILE,
  heat: [
    { level: 1, startTasks: false, throttlePercent: 30, evict: false },
    { level: 2, startTasks: false, throttlePercent: 20, evict: true },
  ],
};

/** Simulation of a VM with one service. */
class YieldSimulation {
  readonly estimator = new DisturbanceEstimator();
  readonly controller = new YieldController(this.estimator);
  readonly log: (YieldAction & { readonly at: number })[] = [];
  profile: Profile = HEAT_PROFILE;
  heatLevel = 0;
  /** Ratio of the reported latency to the baseline. */
  latencyFactor = 1;
  tasks: readonly YieldTask[];
  now = 0;

  constructor(kinds: readonly string[]) {
    this.tasks = kinds.map((kind, index) => ({
      task: `task-${index}`,
      kind,
      processorsMilli: 8000,
      throttlePercent: 100,
      startedAt: 0,
      checkpointedAt: undefined,
    }));
    this._observeBaseline();
  }

  /** Gets the kinds of all actions so far, in order. */
  get kinds(): readonly string[] {
    return this.log.map(({ kind }) => kind);
  }

  getInput(): YieldInput {
    const heat = { level: this.heatLevel, reason: "test", isAssumed: false };
    const report = { ...this._createReport(), measuredAt: this.now };
    const service = { service: "desk", profile: this.profile, report };
    const { now, tasks } = this;
    return { now, capacityMilli: CAPACITY_MILLI, services: [service], tasks, heat };
  }

  /** Advances the time; actions are applied immediately. */
  run(durationMs: number): void {
    const end = this.now + durationMs;
    while (this.now < end) {
      this.now += TICK_MS;
      this.controller.decide(this.getInput()).actions.forEach((action) => {
        this.log.push({ ...action, at: this.now });
        this._applyAction(action);
      });
    }
  }

  private _applyAction(action: YieldAction): void {
    this.tasks = this.tasks.flatMap((task) => {
      if (task.task !== action.task) {
        return [task];
      }
      if (action.kind === "checkpoint") {
        return [{ ...task, checkpointedAt: this.now }];
      }
      return action.kind === "evict"
        ? []
        : [{ ...task, throttlePercent: action.percent ?? task.throttlePercent }];
    });
  }

  private _observeBaseline(): void {
    Array.from({ length: 100 }).forEach((_, index) => {
      const at = index * 10 - 2000;
      this.estimator.observeWithMix({ ...this._createReport(), measuredAt: at }, []);
    });
  }

  private _createReport() {
    return {
      service: "desk",
      measuredAt: this.now,
      latencyMs: BASELINE_MS * this.latencyFactor,
      utilisation: 0.5,
    };
  }
}

test("YieldController throttles as far as the estimates require, but not below the floor", (t) => {
  const simulation = new YieldSimulation(["a", "b"]);
  simulation.run(TICK_MS);
  t.deepEqual([...new Set(simulation.kinds)], ["throttle"]);
  t.true(simulation.tasks.every(({ throttlePercent }) => throttlePercent >= 20));
  t.true(simulation.tasks.some(({ throttlePercent }) => throttlePercent < 100));
});

test("YieldController keeps the headroom processors free", (t) => {
  const simulation = new YieldSimulation(["a", "b", "c", "d"]);
  simulation.profile = {
    ...SAMPLE_PROFILE,
    headroomProcessorsMilli: 16_000,
    toleratedDisturbancePercent: 1000,
  };
  simulation.run(TICK_MS);
  const used = simulation.tasks.reduce((sum, task) => sum + 80 * task.throttlePercent, 0);
  t.true(used <= 16_000);
  t.regex(
    simulation.controller.findStartRefusal(simulation.getInput(), "a", 1000) ?? "",
    /headroom/,
  );
});

test("YieldController evicts only after throttling, with a checkpoint and within the rate limit", (t) => {
  const simulation = new YieldSimulation(["a", "b", "c", "d"]);
  simulation.profile = { ...SAMPLE_PROFILE, throttleFloorPercent: 50, maxEvictionsPerMinute: 2 };
  simulation.latencyFactor = 3;
  simulation.run(55_000);
  const evictions = simulation.log.filter(({ kind }) => kind === "evict");
  t.is(evictions.length, 2);
  const first = evictions[0]?.task;
  const order = simulation.log.filter(({ task }) => task === first).map(({ kind }) => kind);
  t.deepEqual(order, ["throttle", "checkpoint", "evict"]);
  t.true(evictions.every(({ checkpoint }) => checkpoint === true));
  simulation.run(60_000);
  t.is(simulation.tasks.length, 0);
});

test("YieldController never evicts for disturbance unless the profile allows it", (t) => {
  const simulation = new YieldSimulation(["a", "b"]);
  simulation.profile = { ...SAMPLE_PROFILE, yieldOrder: ["throttle"] };
  simulation.latencyFactor = 3;
  simulation.run(120_000);
  t.deepEqual([...new Set(simulation.kinds)], ["throttle"]);
});

test("YieldController yields to heat within 10 s and recovers in steps without oscillating", (t) => {
  const simulation = new YieldSimulation(["a"]);
  simulation.profile = { ...HEAT_PROFILE, toleratedDisturbancePercent: 1000 };
  simulation.run(10_000);
  t.deepEqual(simulation.log, []);
  simulation.heatLevel = 1;
  simulation.run(10_000);
  t.is(simulation.tasks[0]?.throttlePercent, 30);
  t.false(simulation.controller.decide(simulation.getInput()).startTasks);
  simulation.heatLevel = 0;
  simulation.run(60_000);
  const percents = simulation.log.map(({ percent }) => percent);
  t.deepEqual(percents, [30, 55, 80, 100]);
  t.is(simulation.controller.getPhase(), "calm");
});

test("YieldController checkpoints and evicts all tasks within 10 s at a heat level that requires eviction", (t) => {
  const simulation = new YieldSimulation(["a", "b", "c"]);
  simulation.heatLevel = 2;
  simulation.run(10_000);
  t.is(simulation.tasks.length, 0);
  const order = simulation.log.filter(({ task }) => task === "task-0").map(({ kind }) => kind);
  t.deepEqual(order, ["throttle", "checkpoint", "evict"]);
});

test("YieldController evicts a task whose checkpoint never completes", (t) => {
  const simulation = new YieldSimulation(["a"]);
  simulation.heatLevel = 2;
  const decide = () =>
    simulation.controller.decide(simulation.getInput()).actions.map(({ kind }) => kind);
  t.true(decide().includes("checkpoint"));
  simulation.now += 5000;
  t.true(decide().includes("evict"));
});

test("YieldController starts only urgent tasks while the baseline of a service is unknown", (t) => {
  const simulation = new YieldSimulation([]);
  t.is(simulation.controller.findStartRefusal(simulation.getInput(), "a", 2000), undefined);
  const fresh = new YieldController(new DisturbanceEstimator());
  t.regex(fresh.findStartRefusal(simulation.getInput(), "a", 2000) ?? "", /not known yet/);
  t.is(fresh.findStartRefusal(simulation.getInput(), "a", 2000, true), undefined);
});
