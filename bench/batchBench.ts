/**
 * Measures partition owners in one process, with the in-memory store stand-in and agents that
 * accept every start immediately: starts per second with one and with several owners, store writes
 * and log bytes per start, the time to start of urgent work behind a backlog, and the recovery of a
 * partition that has many tasks.
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
const CYCLE_INTERVAL_MS = 200;
const CAPACITY = { processorsMilli: 32_000, memoryBytes: 125e9, accelerators: 0 };
const TASK_SIZE = { processorsMilli: 100, memoryBytes: 100e6, accelerators: 0 };

/** Log that discards all records. */
class SilentLog extends Log {
  override child(): Log {
    return this;
  }
  override debug(): void {
    // Discards the record.
  }
  override info(): void {
    // Discards the record.
  }
  override warn(): void {
    // Discards the record.
  }
  override error(): void {
    // Discards the record.
  }
}

/** Agent gateway that accepts every order immediately. */
class InstantAgentGateway extends AgentGateway {
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

/** Owners of all partitions with a scheduler, on the system clock. */
class OwnerSetup {
  readonly clock = new SystemClock();
  readonly store = new MemoryStore(this.clock);
  readonly owners: PartitionOwner[] = [];
  readonly startedAt = new Map<string, number>();
  private readonly _fleet = new FleetView();
  private readonly _cfg: BatchSettings;
  private readonly _placer: Placer;
  private readonly _agents: InstantAgentGateway;
  private readonly _scheduler: BatchScheduler;
  private readonly _committed = new Map<string, Resources>();
  private readonly _startWaiters = new Map<string, () => void>();
  private _isClosed = false;

  constructor(partitions: number, placer: Placer) {
    this._cfg = { ...DEFAULT_BATCH_SETTINGS, partitions };
    this._placer = placer;
    this.store.faults.delayMs = STORE_DELAY_MS;
    this._agents = new InstantAgentGateway((agent, order) => {
      const committed = this._committed.get(agent) ?? NO_RESOURCES;
      this._committed.set(agent, addResources(committed, order.resources));
      this.startedAt.set(order.task, this.clock.now());
      this._startWaiters.get(order.task)?.();
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
    const result = await PartitionOwner.takeOver({
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
    const owner = result._unsafeUnwrap();
    owner.recordClaim();
    return owner;
  }

  async open(): Promise<void> {
    const partitions = Array.from({ length: this._cfg.partitions }, (_, number) => number);
    this.owners.push(...(await Promise.all(partitions.map((n) => this.takeOver(n, "owner")))));
    this._repeat(HEARTBEAT_MS, () => {
      this._sendHeartbeats();
    });
    this._repeat(CYCLE_INTERVAL_MS, () => {
      this._scheduler.runCycle();
    });
  }

  close(): void {
    this._isClosed = true;
  }

  async submit(key: string, overrides: Partial<JobSpec>): Promise<string> {
    const spec = createSpec(key, overrides);
    const id = getJobId(spec.tenant, spec.key, this._cfg.partitions);
    const outcome = await this.owners[getPartition(id) ?? 0]?.submissions.submit(id, spec);
    if (outcome?.kind !== "accepted") {
      throw new Error(`job ${key} was not accepted`);
    }
    return id;
  }

  /** Waits until a task has been started. */
  async waitForStart(task: string): Promise<void> {
    if (!this.startedAt.has(task)) {
      await new Promise<void>((resolve) => this._startWaiters.set(task, resolve));
    }
  }

  scheduleCycle(): void {
    this.clock.after(10, () => {
      this._scheduler.runCycle();
    });
  }

  private _sendHeartbeats(): void {
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
        committed: this._committed.get(agent) ?? NO_RESOURCES,
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
    if (this._isClosed) {
      return;
    }
    action();
    this.clock.after(intervalMs, () => {
      this._repeat(intervalMs, action);
    });
  }
}

function createSpec(key: string, overrides: Partial<JobSpec>): JobSpec {
  const spec = { key, tenant: "t", kind: "k", resources: TASK_SIZE, command: "run", ...overrides };
  return jobSpecSchema.parse(spec);
}

/** Benchmark of partition owners, their log and recovery. */
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
        await measureThroughput(ctx, new OwnerSetup(owners, create()), placer);
      }
      await measureUrgent(ctx, new OwnerSetup(8, create()), placer);
    }
    await measureRecovery(ctx);
  }
}

async function measureThroughput(
  ctx: BenchContext,
  setup: OwnerSetup,
  placer: string,
): Promise<void> {
  await setup.open();
  const labels = { owners: String(setup.owners.length), placer };
  const tasks = Math.round(THROUGHPUT_TASKS * ctx.scale);
  const jobs = Math.ceil(tasks / JOB_TASKS);
  const keys = Array.from({ length: jobs }, (_, index) => `job-${index}`);
  await Promise.all(keys.map((key) => setup.submit(key, { tasks: JOB_TASKS })));
  const before = readCounts(setup);
  const startedAt = setup.clock.now();
  const cpuBefore = process.cpuUsage();
  while (setup.startedAt.size < jobs * JOB_TASKS) {
    if (setup.clock.now() - startedAt > THROUGHPUT_LIMIT_MS) {
      break;
    }
    await setup.clock.sleep(CYCLE_INTERVAL_MS / 4);
  }
  const seconds = (setup.clock.now() - startedAt) / 1_000;
  const cpu = process.cpuUsage(cpuBefore);
  const after = readCounts(setup);
  const starts = setup.startedAt.size;
  setup.close();
  const emit = (name: string, value: number, unit: string): void => {
    ctx.emit({ name, value, unit, labels });
  };
  emit("starts", starts / seconds, "1/s");
  emit("store writes a start", (after.writes - before.writes) / starts, "1");
  emit("store writes", (after.writes - before.writes) / seconds, "1/s");
  emit("log bytes a start", (after.bytes - before.bytes) / starts, "B");
  emit("processor time a start", (cpu.user + cpu.system) / starts, "us");
}

function readCounts(setup: OwnerSetup): { readonly writes: number; readonly bytes: number } {
  const bytes = setup.owners.reduce((sum, owner) => sum + owner.counts.bytes, 0);
  return { writes: setup.store.counts.writes, bytes };
}

async function measureUrgent(ctx: BenchContext, setup: OwnerSetup, placer: string): Promise<void> {
  await setup.open();
  const backlogJobs = Math.round((URGENT_BACKLOG_TASKS * ctx.scale) / JOB_TASKS);
  const keys = Array.from({ length: backlogJobs }, (_, index) => `backlog-${index}`);
  await Promise.all(keys.map((key) => setup.submit(key, { tasks: JOB_TASKS })));
  const histogram = build();
  const jobs = Array.from({ length: Math.round(URGENT_JOBS * ctx.scale) }, (_, index) => index);
  const waits = jobs.map(async (index) => {
    await setup.clock.sleep(index * URGENT_INTERVAL_MS);
    const startedAt = setup.clock.now();
    const id = await setup.submit(`urgent-${index}`, { urgent: true });
    setup.scheduleCycle();
    await setup.waitForStart(`${id}.0`);
    histogram.recordValue(Math.max(1, Math.round(setup.clock.now() - startedAt)));
  });
  await Promise.all(waits);
  setup.close();
  [50, 99, 100].forEach((percentile) => {
    const labels = { percentile: String(percentile), placer };
    const value = histogram.getValueAtPercentile(percentile);
    ctx.emit({ name: "urgent submission to start order", value, unit: "ms", labels });
  });
}

async function measureRecovery(ctx: BenchContext): Promise<void> {
  const setup = new OwnerSetup(1, new FirstFitPlacer());
  await setup.open();
  const tasks = Math.round(RECOVERY_TASKS * ctx.scale);
  const jobs = Math.ceil(tasks / RECOVERY_TASKS_PER_JOB);
  const keys = Array.from({ length: jobs }, (_, index) => `job-${index}`);
  const spec = { tasks: RECOVERY_TASKS_PER_JOB };
  await Promise.all(keys.map((key) => setup.submit(key, spec)));
  while (setup.startedAt.size < jobs * RECOVERY_TASKS_PER_JOB) {
    await setup.clock.sleep(CYCLE_INTERVAL_MS);
  }
  setup.close();
  const labels = { tasks: String(jobs * RECOVERY_TASKS_PER_JOB) };
  for (let run = 0; run < RECOVERY_REPEATS; run += 1) {
    const readsBefore = setup.store.counts.reads;
    const startedAt = setup.clock.now();
    const owner = await setup.takeOver(0, `successor-${run}`);
    const value = setup.clock.now() - startedAt;
    const repeat = { ...labels, run: String(run) };
    ctx.emit({ name: "recovery of a partition", value, unit: "ms", labels: repeat });
    const reads = setup.store.counts.reads - readsBefore;
    ctx.emit({ name: "store reads of a recovery", value: reads, unit: "1", labels: repeat });
    if (owner.ledger.held.size !== jobs * RECOVERY_TASKS_PER_JOB) {
      throw new Error("the recovered partition does not have all of its tasks");
    }
    await owner.release();
  }
}
