/**
 * The compared policies: how batch tasks are admitted to VMs and how they yield.
 */
import { DisturbanceEstimator } from "../../src/coordination/disturbance/DisturbanceEstimator.ts";
import { HeatTracker } from "../../src/coordination/disturbance/HeatTracker.ts";
import { YieldController } from "../../src/coordination/disturbance/YieldController.ts";
import type { YieldInput } from "../../src/coordination/disturbance/YieldInput.ts";
import type { Profile } from "../../src/protocol/config/ConfigDocument.ts";
import { SimulatedVm, type SimulatedTask } from "./SimulatedVm.ts";

/** Profile of all services in the benchmark. */
export const BENCH_PROFILE: Profile = {
  headroomProcessorsMilli: 10_000,
  headroomMemoryBytes: 0,
  latencyObjectiveMs: 1000,
  toleratedDisturbancePercent: 10,
  yieldOrder: ["throttle", "checkpoint", "evict"],
  throttleFloorPercent: 20,
  maxEvictionsPerMinute: 1,
  heat: [
    { level: 1, startTasks: true, throttlePercent: 60, evict: false },
    { level: 2, startTasks: false, throttlePercent: 30, evict: false },
  ],
};

const ADMISSION_PAUSE_MS = 30_000;

/** A task to evict from its VM. */
export interface Eviction {
  readonly task: string;
}

/** Policy for the batch tasks of one VM. */
export abstract class Policy {
  /**
   * Returns whether a task may start on the VM.
   * @param vm - The VM.
   * @param task - The task.
   * @param now - Time, in milliseconds.
   */
  abstract admits(vm: SimulatedVm, task: SimulatedTask, now: number): boolean;

  /**
   * Throttles tasks of the VM and returns those to evict.
   * @param vm - The VM.
   * @param now - Time, in milliseconds.
   * @param heat - Heat level that the worker reports.
   */
  abstract act(vm: SimulatedVm, now: number, heat: number): readonly Eviction[];
}

/** Admits batch tasks up to a fixed share of the processors outside the headroom. */
export class CapPolicy extends Policy {
  private readonly _percent: number;

  /**
   * Creates the policy.
   * @param percent - Share in percent; 0 admits no task.
   */
  constructor(percent: number) {
    super();
    this._percent = percent;
  }

  override admits(vm: SimulatedVm, task: SimulatedTask): boolean {
    const available = vm.capacityMilli - BENCH_PROFILE.headroomProcessorsMilli;
    return vm.committedMilli + task.processorsMilli <= (available * this._percent) / 100;
  }

  override act(): readonly Eviction[] {
    return [];
  }
}

/** Evicts the largest task for each report above the tolerated latency; knows the true baseline. */
export class EvictOnBreachPolicy extends Policy {
  private readonly _cap = new CapPolicy(100);
  private _lastReportAt = 0;
  private _pausedUntil = 0;

  override admits(vm: SimulatedVm, task: SimulatedTask, now: number): boolean {
    return now >= this._pausedUntil && this._cap.admits(vm, task);
  }

  override act(vm: SimulatedVm, now: number): readonly Eviction[] {
    const { report } = vm;
    if (report === undefined || report.measuredAt <= this._lastReportAt) {
      return [];
    }
    this._lastReportAt = report.measuredAt;
    const limit =
      SimulatedVm.getBaselineP99Ms(report.utilisation) *
      (1 + BENCH_PROFILE.toleratedDisturbancePercent / 100);
    const [largest] = vm.tasks.toSorted((a, b) => b.processorsMilli - a.processorsMilli);
    if (report.latencyMs <= limit || largest === undefined) {
      return [];
    }
    this._pausedUntil = now + ADMISSION_PAUSE_MS;
    return [{ task: largest.task }];
  }
}

/** Applies the decisions of the production code. */
export class AdaptivePolicy extends Policy {
  readonly estimator = new DisturbanceEstimator();
  private readonly _controller = new YieldController(this.estimator);
  private readonly _heatTracker = new HeatTracker();
  private _lastReportAt = 0;
  private _startTasks = true;

  override admits(vm: SimulatedVm, task: SimulatedTask, now: number): boolean {
    const input = this._getInput(vm, now, { level: 0, reason: "", isAssumed: false });
    return (
      this._startTasks &&
      this._controller.findStartRefusal(input, task.kind, task.processorsMilli) === undefined
    );
  }

  override act(vm: SimulatedVm, now: number, heat: number): readonly Eviction[] {
    this.estimator.recordMix(
      now,
      vm.tasks.map((task) => ({
        kind: task.kind,
        share: (task.processorsMilli * task.throttlePercent) / 100 / vm.capacityMilli,
      })),
    );
    if (vm.report !== undefined && vm.report.measuredAt > this._lastReportAt) {
      this._lastReportAt = vm.report.measuredAt;
      this.estimator.observe(vm.report);
    }
    const report = { receivedAt: now, level: heat };
    const level = this._heatTracker.decide({ now, operatorLevel: 0, report });
    const decision = this._controller.decide(this._getInput(vm, now, level));
    this._startTasks = decision.startTasks;
    return decision.actions.flatMap((action): readonly Eviction[] => {
      const task = vm.tasks.find((candidate) => candidate.task === action.task);
      if (task === undefined) {
        return [];
      }
      task.throttlePercent = action.percent ?? task.throttlePercent;
      task.checkpointedAt = action.kind === "checkpoint" ? now : task.checkpointedAt;
      return action.kind === "evict" ? [{ task: task.task }] : [];
    });
  }

  private _getInput(vm: SimulatedVm, now: number, heat: YieldInput["heat"]): YieldInput {
    const service = { service: vm.service, profile: BENCH_PROFILE, report: vm.report };
    const { capacityMilli, tasks } = vm;
    return { now, capacityMilli, services: [service], tasks, heat };
  }
}
