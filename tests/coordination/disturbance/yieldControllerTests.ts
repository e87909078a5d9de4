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

/** A VM with one service, driven by hand. */
class YieldSimulation {
  readonly estimator = new DisturbanceEstimator();
  readonly controller = new YieldController(this.estimator);
  readonly log: (YieldAction & { readonly at: number })[] = [];
  profile: Profile = HEAT_PROFILE;
  heatLevel = 0;
  /** Latency of reports over the base. */
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
    this._learnBaseline();
  }

  /** Gives the kinds of actions so far, in their order. */
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

  /** Runs for a time; orders are carried out at once. */
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

  private _learnBaseline(): void {
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

test("YieldController throttles to what the estimates allow, and no lower than the floor", (t) => {
  const vm = new YieldSimulation(["a", "b"]);
  vm.run(TICK_MS);
  t.deepEqual([...new Set(vm.kinds)], ["throttle"]);
  t.true(vm.tasks.every(({ throttlePercent }) => throttlePercent >= 20));
  t.true(vm.tasks.some(({ throttlePercent }) => throttlePercent < 100));
});

test("YieldController keeps the processors of the headroom free", (t) => {
  const vm = new YieldSimulation(["a", "b", "c", "d"]);
  vm.profile = {
    ...SAMPLE_PROFILE,
    headroomProcessorsMilli: 16_000,
    toleratedDisturbancePercent: 1000,
  };
  vm.run(TICK_MS);
  const used = vm.tasks.reduce((sum, task) => sum + 80 * task.throttlePercent, 0);
  t.true(used <= 16_000);
  t.regex(vm.controller.findStartRefusal(vm.getInput(), "a", 1000) ?? "", /headroom/);
});

test("YieldController evicts only after throttling, with a checkpoint and within its rate", (t) => {
  const vm = new YieldSimulation(["a", "b", "c", "d"]);
  vm.profile = { ...SAMPLE_PROFILE, throttleFloorPercent: 50, maxEvictionsPerMinute: 2 };
  vm.latencyFactor = 3;
  vm.run(55_000);
  const evictions = vm.log.filter(({ kind }) => kind === "evict");
  t.is(evictions.length, 2);
  const first = evictions[0]?.task;
  const order = vm.log.filter(({ task }) => task === first).map(({ kind }) => kind);
  t.deepEqual(order, ["throttle", "checkpoint", "evict"]);
  t.true(evictions.every(({ checkpoint }) => checkpoint === true));
  vm.run(60_000);
  t.is(vm.tasks.length, 0);
});

test("YieldController never evicts for disturbance where the profile does not say so", (t) => {
  const vm = new YieldSimulation(["a", "b"]);
  vm.profile = { ...SAMPLE_PROFILE, yieldOrder: ["throttle"] };
  vm.latencyFactor = 3;
  vm.run(120_000);
  t.deepEqual([...new Set(vm.kinds)], ["throttle"]);
});

test("YieldController yields to heat within 10 s in order and comes back without turning", (t) => {
  const vm = new YieldSimulation(["a"]);
  vm.profile = { ...HEAT_PROFILE, toleratedDisturbancePercent: 1000 };
  vm.run(10_000);
  t.deepEqual(vm.log, []);
  vm.heatLevel = 1;
  vm.run(10_000);
  t.is(vm.tasks[0]?.throttlePercent, 30);
  t.false(vm.controller.decide(vm.getInput()).startTasks);
  vm.heatLevel = 0;
  vm.run(60_000);
  const percents = vm.log.map(({ percent }) => percent);
  t.deepEqual(percents, [30, 55, 80, 100]);
  t.is(vm.controller.getPhase(), "calm");
});

test("YieldController takes checkpoints and evicts all tasks within 10 s at a level that says so", (t) => {
  const vm = new YieldSimulation(["a", "b", "c"]);
  vm.heatLevel = 2;
  vm.run(10_000);
  t.is(vm.tasks.length, 0);
  const order = vm.log.filter(({ task }) => task === "task-0").map(({ kind }) => kind);
  t.deepEqual(order, ["throttle", "checkpoint", "evict"]);
});

test("YieldController evicts a task whose checkpoint never ends", (t) => {
  const vm = new YieldSimulation(["a"]);
  vm.heatLevel = 2;
  const decide = () => vm.controller.decide(vm.getInput()).actions.map(({ kind }) => kind);
  t.true(decide().includes("checkpoint"));
  vm.now += 5000;
  t.true(decide().includes("evict"));
});

test("YieldController starts nothing while the base of a service is unknown", (t) => {
  const vm = new YieldSimulation([]);
  t.is(vm.controller.findStartRefusal(vm.getInput(), "a", 2000), undefined);
  const fresh = new YieldController(new DisturbanceEstimator());
  t.regex(fresh.findStartRefusal(vm.getInput(), "a", 2000) ?? "", /not known yet/);
  t.is(fresh.findStartRefusal(vm.getInput(), "a", 2000, true), undefined);
});
