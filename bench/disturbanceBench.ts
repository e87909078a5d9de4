/**
 * Compares tail latency, batch throughput and evictions of several policies on simulated VMs, with
 * a seeded table of true interference and with delayed latency reports.
 */
import { build } from "hdr-histogram-js";
import { SeededRandom } from "../tests/support/SeededRandom.ts";
import { Bench, type BenchContext } from "./Bench.ts";
import {
  AdaptivePolicy,
  CapPolicy,
  EvictOnBreachPolicy,
  type Policy,
} from "./disturbance/policies.ts";
import { SimulatedVm, type SimulatedTask } from "./disturbance/SimulatedVm.ts";
import { drawInterference, TaskSource, WORKLOADS, type Workload } from "./disturbance/workloads.ts";

const SERVICES: readonly string[] = ["rota-desk", "coursework"];
const VMS = 12;
const TICK_MS = 500;
const RUN_MS = 600_000;
const PENDING_TASKS = 24;
const LOST_WORK_PER_EVICTION_MS = 2000;
const TOLERATED_P99_RATIO = 1.1;
const CAP_STEP_PERCENT = 5;
const HEAT_RESPONSE_MS = 10_000;

/** Result of one run. */
interface RunResult {
  readonly p99Ms: number;
  /** Work done by batch tasks, in core-seconds. */
  readonly coreSeconds: number;
  readonly evictions: number;
  /** Highest throttle percentage of any task from 10 s after the rise of the heat level on. */
  readonly maxHotThrottlePercent: number;
  /** Number of times that the mean throttle percentage changed direction. */
  readonly reversals: number;
  /** Mean absolute error of the estimated rises at the end; 0 for policies without estimates. */
  readonly pairError: number;
}

/** Benchmark of the disturbance by batch work under several policies. */
export default class DisturbanceBench extends Bench {
  readonly name = "disturbance";
  readonly title = "Tail latency, batch throughput and evictions by policy";

  override run(ctx: BenchContext): Promise<void> {
    WORKLOADS.forEach((workload) => {
      measure(workload, ctx);
    });
    return Promise.resolve();
  }
}

function measure(workload: Workload, ctx: BenchContext): void {
  const none = simulate(workload, ctx, () => new CapPolicy(0));
  const cap = findCap(workload, ctx, none.p99Ms * TOLERATED_P99_RATIO);
  const results: readonly (readonly [string, RunResult])[] = [
    ["none", none],
    ["no-policy", simulate(workload, ctx, () => new CapPolicy(100))],
    [`fixed-cap`, cap.result],
    ["evict-on-breach", simulate(workload, ctx, () => new EvictOnBreachPolicy())],
    ["adaptive", simulate(workload, ctx, () => new AdaptivePolicy())],
  ];
  const emit = (name: string, value: number, unit: string, policy: string): void => {
    ctx.emit({ name, value, unit, labels: { workload: workload.name, policy } });
  };
  emit("cap", cap.percent, "%", "fixed-cap");
  results.forEach(([policy, result]) => {
    emit("latency-p99", result.p99Ms, "ms", policy);
    emit("latency-p99-ratio", result.p99Ms / none.p99Ms, "x", policy);
    emit("batch-work", result.coreSeconds, "core-s", policy);
    emit("evictions", result.evictions, "1", policy);
    emit("throttle-turns", result.reversals, "1", policy);
    emit("pair-error", result.pairError, "1", policy);
    emit("hot-throttle", result.maxHotThrottlePercent, "%", policy);
  });
}

/** Finds the largest cap at which the 99th percentile of latency stays within a limit. */
function findCap(
  workload: Workload,
  ctx: BenchContext,
  limitMs: number,
): { readonly percent: number; readonly result: RunResult } {
  const percents = Array.from(
    { length: 100 / CAP_STEP_PERCENT },
    (_, i) => 100 - i * CAP_STEP_PERCENT,
  );
  const trials = percents.map((percent) => {
    return { percent, result: simulate(workload, ctx, () => new CapPolicy(percent)) };
  });
  const withinLimit = trials.find(({ result }) => result.p99Ms <= limitMs);
  return withinLimit ?? { percent: 0, result: simulate(workload, ctx, () => new CapPolicy(0)) };
}

function simulate(workload: Workload, ctx: BenchContext, create: () => Policy): RunResult {
  const interference = drawInterference(SERVICES, new SeededRandom(ctx.seed));
  const source = new TaskSource(workload, new SeededRandom(ctx.seed + 1));
  const vms = Array.from({ length: VMS }, (_, index) => {
    const service = SERVICES[index % SERVICES.length] ?? "";
    return new SimulatedVm(service, interference, new SeededRandom(ctx.seed + 100 + index));
  });
  const policies = vms.map(create);
  const run = new PolicyRun(workload, source, vms, policies);
  const ticks = Math.round((RUN_MS * ctx.scale) / TICK_MS);
  Array.from({ length: ticks }, (_, tick) => (tick + 1) * TICK_MS).forEach((now) => {
    run.tick(now);
  });
  return run.getResult(interference);
}

/** Simulation of one policy under one workload. */
class PolicyRun {
  private readonly _workload: Workload;
  private readonly _source: TaskSource;
  private readonly _vms: readonly SimulatedVm[];
  private readonly _policies: readonly Policy[];
  private readonly _latencies = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 10_000_000,
    numberOfSignificantValueDigits: 3,
  });
  private _pending: readonly SimulatedTask[] = [];
  private _lostMilliMs = 0;
  private _doneMilliMs = 0;
  private _evictions = 0;
  private _hotSince: number | undefined;
  private _maxHotThrottlePercent = 0;
  private _reversals = 0;
  private _lastMeanPercent = 100;
  private _direction = 0;

  constructor(
    workload: Workload,
    source: TaskSource,
    vms: readonly SimulatedVm[],
    policies: readonly Policy[],
  ) {
    this._workload = workload;
    this._source = source;
    this._vms = vms;
    this._policies = policies;
  }

  tick(now: number): void {
    const heat = this._workload.getHeat(now);
    this._refill(now);
    this._vms.forEach((vm, index) => {
      const policy = this._policies[index];
      if (policy === undefined) {
        return;
      }
      this._evict(
        vm,
        policy.act(vm, now, heat).map(({ task }) => task),
      );
      this._start(vm, policy, now);
      this._serve(vm, now);
    });
    this._updateHotThrottle(now, heat);
    this._countReversals();
  }

  getResult(interference: ReturnType<typeof drawInterference>): RunResult {
    return {
      p99Ms: this._latencies.getValueAtPercentile(99) / 1000,
      coreSeconds: (this._doneMilliMs - this._lostMilliMs) / 1_000_000,
      evictions: this._evictions,
      maxHotThrottlePercent: this._maxHotThrottlePercent,
      reversals: this._reversals,
      pairError: getPairError(this._policies, interference),
    };
  }

  private _refill(now: number): void {
    const missing = PENDING_TASKS - this._pending.length;
    const added = Array.from({ length: Math.max(0, missing) }, () => this._source.next(now));
    this._pending = [...this._pending, ...added];
  }

  private _evict(vm: SimulatedVm, tasks: readonly string[]): void {
    const evicted = vm.tasks.filter(({ task }) => tasks.includes(task));
    vm.tasks = vm.tasks.filter((task) => !evicted.includes(task));
    evicted.forEach((task) => {
      const lost = Math.min(task.doneMs, LOST_WORK_PER_EVICTION_MS);
      task.doneMs -= lost;
      task.throttlePercent = 100;
      this._lostMilliMs += lost * task.processorsMilli;
      this._evictions += 1;
    });
    this._pending = [...evicted, ...this._pending];
  }

  private _start(vm: SimulatedVm, policy: Policy, now: number): void {
    this._pending.forEach((task) => {
      if (!policy.admits(vm, task, now)) {
        return;
      }
      task.startedAt = now;
      vm.tasks = [...vm.tasks, task];
      this._pending = this._pending.filter((waiting) => waiting !== task);
    });
  }

  private _serve(vm: SimulatedVm, now: number): void {
    const latencies = vm.tick(now, TICK_MS, this._workload.getUtilisation(now));
    latencies.forEach((latencyMs) => {
      this._latencies.recordValue(Math.round(latencyMs * 1000));
    });
    vm.tasks.forEach((task) => {
      this._doneMilliMs += (TICK_MS * task.throttlePercent * task.processorsMilli) / 100;
    });
    vm.tasks = vm.tasks.filter((task) => task.doneMs < task.workMs);
  }

  private _updateHotThrottle(now: number, heat: number): void {
    this._hotSince = heat === 0 ? undefined : (this._hotSince ?? now);
    if (this._hotSince !== undefined && now - this._hotSince >= HEAT_RESPONSE_MS) {
      const percents = this._vms.flatMap(({ tasks }) => tasks.map((task) => task.throttlePercent));
      this._maxHotThrottlePercent = Math.max(this._maxHotThrottlePercent, ...percents);
    }
  }

  private _countReversals(): void {
    const percents = this._vms.flatMap(({ tasks }) => tasks.map((task) => task.throttlePercent));
    const mean = percents.reduce((sum, percent) => sum + percent, 0) / Math.max(1, percents.length);
    if (Math.abs(mean - this._lastMeanPercent) < 10) {
      return;
    }
    const direction = Math.sign(mean - this._lastMeanPercent);
    this._reversals += direction !== this._direction && this._direction !== 0 ? 1 : 0;
    this._direction = direction;
    this._lastMeanPercent = mean;
  }
}

/** Gets the mean absolute error of the estimates of all VMs at the steady load. */
function getPairError(
  policies: readonly Policy[],
  interference: ReturnType<typeof drawInterference>,
): number {
  const errors = policies.flatMap((policy, index) => {
    if (!(policy instanceof AdaptivePolicy)) {
      return [];
    }
    const service = SERVICES[index % SERVICES.length] ?? "";
    return Object.entries(interference[service] ?? {}).map(([kind, rise]) =>
      Math.abs(policy.estimator.getPairEstimate(service, kind, 0.5).rise - rise),
    );
  });
  return errors.reduce((sum, error) => sum + error, 0) / Math.max(1, errors.length);
}
