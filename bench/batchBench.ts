/**
 * Batch work of partition owners within one process, against the store stand-in and agents that
 * accept every start at once: starts a second for one owner and for several, store writes and
 * bytes for each start, time to start of urgent work behind a backlog, and recovery of a partition
 * with many tasks on its books.
 */
import { build } from "hdr-histogram-js";
import {
  AgentGateway,
  type StartOrder,
  type StartOutcome,
  type StopOutcome,
} from "../src/coordination/batch/AgentGateway.ts";
import { BatchScheduler } from "../src/coordination/batch/BatchScheduler.ts";
import {
  DEFAULT_BATCH_SETTINGS,
  type BatchSettings,
} from "../src/coordination/batch/BatchSettings.ts";
import { FirstFitPlacer } from "../src/coordination/batch/FirstFitPlacer.ts";
import { PartitionOwner } from "../src/coordination/batch/PartitionOwner.ts";
import type { Placer } from "../src/coordination/batch/Placer.ts";
import { FairSharePlacer } from "../src/coordination/placement/FairSharePlacer.ts";
import { EMPTY_DOCUMENT } from "../src/protocol/config/ConfigDocument.ts";
import { jobSpecSchema, type JobSpec } from "../src/protocol/jobs/JobSpec.ts";
import { addResources, NO_RESOURCES, type Resources } from "../src/protocol/Resources.ts";
import { Log } from "../src/protocol/platform/Log.ts";
import { getJobId, getPartition } from "../src/state/batch/BatchIds.ts";
import { FleetView } from "../src/state/FleetView.ts";
import { SystemClock } from "../src/transport/platform/SystemClock.ts";
import { MemoryStore } from "../standins/store/MemoryStore.ts";
import { SeededRandom } from "../tests/support/SeededRandom.ts";
import { Bench, type BenchContext } from "./Bench.ts";

const STORE_DELAY_MS = 2;
const VMS = 300;
const OWNER_COUNTS = [1, 4, 16];
const JOB_TASKS = 500;
const THROUGHPUT_TASKS = 30_000;
const THROUGHPUT_LIMIT_MS = 60_000;
const URGENT_JOBS = 200;
const URGENT_INTERVAL_MS = 25;
const URGENT_BACKLOG_TASKS = 20_000;
const RECOVERY_TASKS = 50_000;
const RECOVERY_TASKS_PER_JOB = 5_000;
const RECOVERY_REPEATS = 5;
const HEARTBEAT_MS = 500;
const ROUND_MS = 200;
const CAPACITY = { processorsMilli: 32_000, memoryBytes: 125e9, accelerators: 0 };
const TASK_SIZE = { processorsMilli: 100, memoryBytes: 100e6, accelerators: 0 };

/** Log that drops everything. */
class SilentLog extends Log {
  override part(): Log {
    return this;
  }
  override debug(): void {
    // Dropped.
  }
  override info(): void {
    // Dropped.
  }
  override warn(): void {
    // Dropped.
  }
  override error(): void {
    // Dropped.
  }
}

/** Agents that accept every order at once. */
class InstantAgents extends AgentGateway {
  private readonly _onStart: (agent: string, order: StartOrder) => void;

  constructor(onStart: (agent: string, order: StartOrder) => void) {
    super();
    this._onStart = onStart;
  }

  override startTask(controlAddress: string, order: StartOrder): Promise<StartOutcome> {
    this._onStart(controlAddress, order);
    return Promise.resolve({ kind: "accepted" });
  }

  override stopTask(): Promise<StopOutcome> {
    return Promise.resolve({ kind: "stopped", ended: undefined, checkpoint: "", reason: "" });
  }
}

/** Owners of all partitions with a scheduler, on the machine's clock. */
class OwnerScene {
  readonly clock = new SystemClock();
  readonly store = new MemoryStore(this.clock);
  readonly owners: PartitionOwner[] = [];
  readonly startedAt = new Map<string, number>();
  private readonly _fleet = new FleetView();
  private readonly _cfg: BatchSettings;
  private readonly _placer: Placer;
  private readonly _agents: InstantAgents;
  private readonly _scheduler: BatchScheduler;
  private readonly _held = new Map<string, Resources>();
  private readonly _waiters = new Map<string, () => void>();
  private _ended = false;

  constructor(partitions: number, placer: Placer) {
    this._cfg = { ...DEFAULT_BATCH_SETTINGS, partitions };
    this._placer = placer;
    this.store.faults.delayMs = STORE_DELAY_MS;
    this._agents = new InstantAgents((agent, order) => {
      const held = this._held.get(agent) ?? NO_RESOURCES;
      this._held.set(agent, addResources(held, order.resources));
      this.startedAt.set(order.task, this.clock.now());
      this._waiters.get(order.task)?.();
    });
    this._scheduler = new BatchScheduler({
      clock: this.clock,
      fleet: this._fleet,
      placer,
      getConfig: () => ({ revision: 1, document: EMPTY_DOCUMENT }),
      getOwners: () => this.owners,
      getPeerTasks: () => [],
    });
  }

  async takeOver(partition: number, writer: string): Promise<PartitionOwner> {
    const taken = await PartitionOwner.takeOver({
      cfg: this._cfg,
      partition,
      entry: writer,
      writer,
      store: this.store,
      clock: this.clock,
      log: new SilentLog(),
      fleet: this._fleet,
      gateway: this._agents,
      onOutcome: () => undefined,
      onSuperseded: () => undefined,
    });
    const owner = taken._unsafeUnwrap();
    owner.recordClaim();
    return owner;
  }

  async open(): Promise<void> {
    const partitions = Array.from({ length: this._cfg.partitions }, (_, number) => number);
    this.owners.push(...(await Promise.all(partitions.map((n) => this.takeOver(n, "owner")))));
    this._repeat(HEARTBEAT_MS, () => {
      this._beat();
    });
    this._repeat(ROUND_MS, () => {
      this._scheduler.runCycle();
    });
  }

  close(): void {
    this._ended = true;
  }

  async submit(key: string, more: Partial<JobSpec>): Promise<string> {
    const spec = createSpec(key, more);
    const id = getJobId(spec.tenant, spec.key, this._cfg.partitions);
    const outcome = await this.owners[getPartition(id) ?? 0]?.submissions.submit(id, spec);
    if (outcome?.kind !== "accepted") {
      throw new Error(`job ${key} was not taken`);
    }
    return id;
  }

  /** Resolves when a task has been started. */
  async waitForStart(task: string): Promise<void> {
    if (!this.startedAt.has(task)) {
      await new Promise<void>((resolve) => this._waiters.set(task, resolve));
    }
  }

  runRoundSoon(): void {
    this.clock.after(10, () => {
      this._scheduler.runCycle();
    });
  }

  private _beat(): void {
    const reportedAt = this.clock.now();
    Array.from({ length: VMS }, (_, number) => `vm-${number}`).forEach((agent, index) =>
      this._fleet.apply({
        agent,
        incarnation: "1",
        sequence: reportedAt,
        region: "r",
        zone: `z${index % 3}`,
        rack: `k${Math.floor(index / 3)}`,
        requestAddress: "",
        controlAddress: agent,
        capacity: CAPACITY,
        committed: this._held.get(agent) ?? NO_RESOURCES,
        used: NO_RESOURCES,
        servers: [],
        draining: false,
        configRevision: 1,
        tasks: 0,
        heatLevel: undefined,
        reportedAt,
      }),
    );
  }

  private _repeat(intervalMs: number, action: () => void): void {
    if (this._ended) {
      return;
    }
    action();
    this.clock.after(intervalMs, () => {
      this._repeat(intervalMs, action);
    });
  }
}

function createSpec(key: string, more: Partial<JobSpec>): JobSpec {
  const spec = { key, tenant: "t", kind: "k", resources: TASK_SIZE, command: "run", ...more };
  return jobSpecSchema.parse(spec);
}

/** Measures owners, log and recovery. */
export default class BatchBench extends Bench {
  override readonly name = "batch";
  override readonly title = "Batch work: starts, store writes, urgent work and recovery";

  override async run(ctx: BenchContext): Promise<void> {
    const placers = [
      { placer: "first fit", create: () => new FirstFitPlacer() },
      {
        placer: "fair share",
        create: () => new FairSharePlacer({ random: new SeededRandom(ctx.seed) }),
      },
    ];
    for (const { placer, create } of placers) {
      for (const owners of OWNER_COUNTS) {
        await measureThroughput(ctx, new OwnerScene(owners, create()), placer);
      }
      await measureUrgent(ctx, new OwnerScene(8, create()), placer);
    }
    await measureRecovery(ctx);
  }
}

async function measureThroughput(
  ctx: BenchContext,
  scene: OwnerScene,
  placer: string,
): Promise<void> {
  await scene.open();
  const labels = { owners: String(scene.owners.length), placer };
  const tasks = Math.round(THROUGHPUT_TASKS * ctx.scale);
  const jobs = Math.ceil(tasks / JOB_TASKS);
  const keys = Array.from({ length: jobs }, (_, index) => `job-${index}`);
  await Promise.all(keys.map((key) => scene.submit(key, { tasks: JOB_TASKS })));
  const before = count(scene);
  const begunAt = scene.clock.now();
  const cpuBefore = process.cpuUsage();
  while (scene.startedAt.size < jobs * JOB_TASKS) {
    if (scene.clock.now() - begunAt > THROUGHPUT_LIMIT_MS) {
      break;
    }
    await scene.clock.sleep(ROUND_MS / 4);
  }
  const seconds = (scene.clock.now() - begunAt) / 1_000;
  const cpu = process.cpuUsage(cpuBefore);
  const after = count(scene);
  const starts = scene.startedAt.size;
  scene.close();
  const emit = (name: string, value: number, unit: string): void => {
    ctx.emit({ name, value, unit, labels });
  };
  emit("starts", starts / seconds, "1/s");
  emit("store writes a start", (after.writes - before.writes) / starts, "1");
  emit("store writes", (after.writes - before.writes) / seconds, "1/s");
  emit("log bytes a start", (after.bytes - before.bytes) / starts, "B");
  emit("processor time a start", (cpu.user + cpu.system) / starts, "us");
}

function count(scene: OwnerScene): { readonly writes: number; readonly bytes: number } {
  const bytes = scene.owners.reduce((sum, owner) => sum + owner.counts.bytes, 0);
  return { writes: scene.store.counts.writes, bytes };
}

async function measureUrgent(ctx: BenchContext, scene: OwnerScene, placer: string): Promise<void> {
  await scene.open();
  const backlog = Math.round((URGENT_BACKLOG_TASKS * ctx.scale) / JOB_TASKS);
  const keys = Array.from({ length: backlog }, (_, index) => `backlog-${index}`);
  await Promise.all(keys.map((key) => scene.submit(key, { tasks: JOB_TASKS })));
  const histogram = build();
  const jobs = Array.from({ length: Math.round(URGENT_JOBS * ctx.scale) }, (_, index) => index);
  const waits = jobs.map(async (index) => {
    await scene.clock.sleep(index * URGENT_INTERVAL_MS);
    const begunAt = scene.clock.now();
    const id = await scene.submit(`urgent-${index}`, { urgent: true });
    scene.runRoundSoon();
    await scene.waitForStart(`${id}.0`);
    histogram.recordValue(Math.max(1, Math.round(scene.clock.now() - begunAt)));
  });
  await Promise.all(waits);
  scene.close();
  [50, 99, 100].forEach((percentile) => {
    const labels = { percentile: String(percentile), placer };
    const value = histogram.getValueAtPercentile(percentile);
    ctx.emit({ name: "urgent submission to start order", value, unit: "ms", labels });
  });
}

async function measureRecovery(ctx: BenchContext): Promise<void> {
  const scene = new OwnerScene(1, new FirstFitPlacer());
  await scene.open();
  const tasks = Math.round(RECOVERY_TASKS * ctx.scale);
  const jobs = Math.ceil(tasks / RECOVERY_TASKS_PER_JOB);
  const keys = Array.from({ length: jobs }, (_, index) => `job-${index}`);
  const spec = { tasks: RECOVERY_TASKS_PER_JOB };
  await Promise.all(keys.map((key) => scene.submit(key, spec)));
  while (scene.startedAt.size < jobs * RECOVERY_TASKS_PER_JOB) {
    await scene.clock.sleep(ROUND_MS);
  }
  scene.close();
  const labels = { tasks: String(jobs * RECOVERY_TASKS_PER_JOB) };
  for (let run = 0; run < RECOVERY_REPEATS; run += 1) {
    const readsBefore = scene.store.counts.reads;
    const begunAt = scene.clock.now();
    const owner = await scene.takeOver(0, `successor-${run}`);
    const value = scene.clock.now() - begunAt;
    const repeat = { ...labels, run: String(run) };
    ctx.emit({ name: "recovery of a partition", value, unit: "ms", labels: repeat });
    const reads = scene.store.counts.reads - readsBefore;
    ctx.emit({ name: "store reads of a recovery", value: reads, unit: "1", labels: repeat });
    if (owner.ledger.held.size !== jobs * RECOVERY_TASKS_PER_JOB) {
      throw new Error("the recovery lost tasks");
    }
    await owner.release();
  }
}
