/**
 * Measures what a pool's scheduler costs over real connections: an entry in a process of its own,
 * agents with worker stand-ins in others, the store's stand-in here, and a steady mix of jobs.
 */
import { fork, type ChildProcess } from "node:child_process";
import { once } from "node:events";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { waitUntil } from "../standins/cluster/waitUntil.ts";
import { KvServer } from "../standins/platform/KvServer.ts";
import { findFreeAddresses } from "../standins/support/freePorts.ts";
import type { ProcessUsage } from "../src/transport/platform/ProcessLoadLog.ts";
import { SeededRandom } from "../tests/support/SeededRandom.ts";
import { Bench, type BenchContext } from "./Bench.ts";
import { createBody, createId, JOB_KINDS, type JobKind } from "./pool/jobKinds.ts";
import type { FirstStart } from "./pool/messages.ts";

const WORKERS: readonly number[] = [11, 40, 160];
const WORKERS_PER_PROCESS = 40;
const ADDRESSES_PER_WORKER = 3;
const WARM_UP_MS = 6_000;
const MEASURED_MS = 15_000;
const READY_TIMEOUT_MS = 20_000;
const HOST = "jobs.example";
const PERCENTILES: readonly number[] = [50, 95, 99];
const US_PER_S = 1_000_000;
const MS_PER_S = 1_000;
const BYTES_PER_MB = 1_048_576;
const CONFIGURATION = {
  version: 1,
  routes: [
    {
      ...{ name: "jobs", host: HOST, prefix: "/", kind: "unsafe", timeout_ms: 3_000 },
      ...{ target_latency_ms: 250, priority: 0, service: "pool", max_attempts: 3, stretch: 1.5 },
    },
  ],
  services: [{ name: "pool", admission_control: true, spare: false }],
  limits: { max_header_bytes: 16_384, max_body_bytes: 20_000 },
};

/** Benchmark of the scheduler of a pool. */
export default class PoolBench extends Bench {
  override readonly name = "pool";
  override readonly title = "Scheduler of a pool over real connections";

  override async run(ctx: BenchContext): Promise<void> {
    for (const workers of WORKERS) {
      const run = new PoolBenchRun(ctx, workers);
      await run.measure().finally(() => run.stop());
    }
  }
}

/** Measurement with one number of workers. */
class PoolBenchRun {
  private readonly _ctx: BenchContext;
  private readonly _workers: number;
  private readonly _children: ChildProcess[] = [];
  private readonly _submittedAtMs = new Map<string, number>();
  private readonly _waitsMs: number[] = [];
  private _kv: KvServer | undefined;
  private _submissions = "";
  private _hasEnded = false;
  private _refused = 0;

  constructor(ctx: BenchContext, workers: number) {
    this._ctx = ctx;
    this._workers = workers;
  }

  async measure(): Promise<void> {
    const entry = await this._start();
    const measuredMs = MEASURED_MS * this._ctx.scale;
    JOB_KINDS.forEach((kind, i) => void this._submitJobs(kind, i));
    await sleep(WARM_UP_MS);
    this._waitsMs.length = 0;
    const before = await getUsage(entry);
    await sleep(measuredMs);
    const after = await getUsage(entry);
    const cores = (after.processorUs - before.processorUs) / (measuredMs * (US_PER_S / MS_PER_S));
    this._emit("processor", cores, "cores");
    this._emit("resident memory", after.residentBytes / BYTES_PER_MB, "MB");
    this._emit("jobs started", this._waitsMs.length, "jobs");
    this._emit("jobs refused", this._refused, "jobs");
    const sorted = this._waitsMs.toSorted((a, b) => a - b);
    PERCENTILES.forEach((percentile) => {
      const value = sorted[Math.floor((sorted.length * percentile) / 100)];
      if (value !== undefined) {
        this._emit("wait for the first start", value, "ms", { percentile: String(percentile) });
      }
    });
  }

  async stop(): Promise<void> {
    this._hasEnded = true;
    this._children.forEach((child) => {
      child.disconnect();
    });
    await this._kv?.stop();
  }

  private async _start(): Promise<ChildProcess> {
    const [kv = "", submissions = "", readiness = "", ...own] = await findFreeAddresses(
      3 + this._workers * ADDRESSES_PER_WORKER,
    );
    this._submissions = submissions;
    this._kv = new KvServer(kv);
    await this._kv.start();
    this._kv.put("op/config", CONFIGURATION);
    const entry = await this._fork("entryMain.ts", [kv, submissions, readiness]);
    for (let first = 0; first < this._workers; first += WORKERS_PER_PROCESS) {
      const last = Math.min(first + WORKERS_PER_PROCESS, this._workers);
      const addresses = own.slice(first * ADDRESSES_PER_WORKER, last * ADDRESSES_PER_WORKER);
      const child = await this._fork("workersMain.ts", [kv, String(first), ...addresses]);
      child.on("message", (message) => {
        this._recordStart(message as FirstStart);
      });
    }
    await waitUntil("the entry is ready", READY_TIMEOUT_MS, async () => {
      const { statusCode, body } = await request(`http://${readiness}/v1/ready`);
      await body.dump();
      return statusCode === 200;
    });
    return entry;
  }

  private async _fork(script: string, args: readonly string[]): Promise<ChildProcess> {
    const options = { stdio: ["ignore", "ignore", "inherit", "ipc"] as const };
    const path = join(import.meta.dirname, "pool", script);
    const child = fork(path, [...args], { stdio: [...options.stdio] });
    this._children.push(child);
    await once(child, "message");
    return child;
  }

  private async _submitJobs(kind: JobKind, stream: number): Promise<void> {
    const random = new SeededRandom(this._ctx.seed + stream);
    // The first number of a small seed is always close to 1.
    random.next();
    const meanMs = MS_PER_S / (kind.rate * this._workers);
    let number = 0;
    while (!this._hasEnded) {
      await sleep(-Math.log(1 - random.next()) * meanMs);
      number += 1;
      void this._submit(createId(kind, number), createBody(kind));
    }
  }

  private async _submit(id: string, body: string): Promise<void> {
    this._submittedAtMs.set(id, Date.now());
    try {
      const { statusCode, body: reply } = await request(`http://${this._submissions}/${id}`, {
        method: "POST",
        headers: { host: HOST, "content-type": "application/json", "deadline-ms": "3000" },
        body,
      });
      await reply.dump();
      this._refused += statusCode < 300 ? 0 : 1;
    } catch {
      this._refused += 1;
    }
  }

  private _recordStart({ job, startedAtMs }: FirstStart): void {
    const submittedAtMs = this._submittedAtMs.get(job);
    if (submittedAtMs !== undefined) {
      this._submittedAtMs.delete(job);
      this._waitsMs.push(startedAtMs - submittedAtMs);
    }
  }

  private _emit(name: string, value: number, unit: string, labels: object = {}): void {
    const all = { workers: String(this._workers), ...labels };
    this._ctx.emit({ name, value, unit, labels: all });
  }
}

async function getUsage(entry: ChildProcess): Promise<ProcessUsage> {
  const replied = once(entry, "message");
  entry.send("usage");
  const [usage] = (await replied) as [ProcessUsage];
  return usage;
}
