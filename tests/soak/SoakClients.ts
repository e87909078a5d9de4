/**
 * Clients of the soak: they submit jobs, cancel some, and remember what they were promised.
 */
import { createJobId } from "../support/poolFixtures.ts";
import type { SeededRandom } from "../support/SeededRandom.ts";
import { callEntry } from "../platform/PlatformFixture.ts";
import type { TaskRequirements } from "../../standins/pool/PoolWorkerModelDependencies.ts";
import type { SoakPool } from "./SoakPool.ts";
import { PROCESSORS_MILLI } from "./SoakWorker.ts";

const PREFIX = "/a/";
const STEP_CPU_MILLI = 700;
const MEMORY_MB = 100;
const MB = 1_048_576;
const MIN_TASKS = 3;
const MAX_TASKS = 9;
const MIN_WORK_MS = 400;
const MAX_WORK_MS = 3_000;
const LASTING_SHARE = 0.15;
/** Largest share of the pool's processors for tasks that last, so that there is room for the others. */
const MAX_LASTING_LOAD = 0.5;
const CANCELLED_SHARE = 0.15;
/** Attempts at a request that gets no final answer, so that they outlast any series of faults. */
const MAX_TRIES = 60;
const RETRY_MS = 300;

/** A job as its client knows it. */
export interface SoakJob {
  readonly id: string;
  readonly taskCount: number;
  /** Duration of its tasks, in milliseconds; undefined for tasks that last. */
  readonly workMs: number | undefined;
  isAccepted: boolean;
  /** Whether its client has sent a cancellation. */
  isCancelled: boolean;
  /** Status of the answer to the cancellation; undefined if there was none in the end. */
  cancelStatus: number | undefined;
}

/** Clients of one pool. */
export class SoakClients {
  readonly jobs: SoakJob[] = [];
  private readonly _pool: SoakPool;
  private readonly _random: SeededRandom;
  private readonly _byId = new Map<string, SoakJob>();

  /**
   * Creates clients that send nothing yet.
   * @param getPool - Gets the pool.
   * @param random - Random numbers.
   */
  constructor(pool: SoakPool, random: SeededRandom) {
    this._pool = pool;
    this._random = random;
  }

  /** Submits a job, and cancels it later if chance says so. */
  async submitNext(): Promise<void> {
    const random = this._random;
    const isDrawn = random.next() < LASTING_SHARE;
    const taskCount = MIN_TASKS + random.nextInt(MAX_TASKS - MIN_TASKS);
    const lasts = isDrawn && this._hasRoomToLast(taskCount);
    const job: SoakJob = {
      id: createJobId(this.jobs.length + 1),
      taskCount,
      workMs: lasts ? undefined : MIN_WORK_MS + random.nextInt(MAX_WORK_MS - MIN_WORK_MS),
      isAccepted: false,
      isCancelled: false,
      cancelStatus: undefined,
    };
    const isCancelled = random.next() < CANCELLED_SHARE;
    const cancelAfterMs = 500 + random.nextInt(3_000);
    this.jobs.push(job);
    this._byId.set(job.id, job);
    job.isAccepted = (await this._send("POST", job.id, this._createBody(job))) === 200;
    if (isCancelled && job.isAccepted) {
      await sleep(cancelAfterMs);
      job.isCancelled = true;
      job.cancelStatus = await this._send("DELETE", job.id);
    }
  }

  /**
   * Gets the state of a job as a client sees it.
   * @param id - Its id.
   */
  async getState(id: string): Promise<unknown> {
    const [entry] = this._pool.entries;
    const answer = await callEntry(entry?.submissions ?? "", "GET", `${PREFIX}${id}`, undefined);
    return answer.body.state ?? answer.status;
  }

  /** Gets what a task takes on a worker. */
  readonly getRequirements = (task: string): TaskRequirements => ({
    resources: {
      ...{ processorsMilli: STEP_CPU_MILLI, memoryBytes: MEMORY_MB * MB, accelerators: 0 },
    },
    workMs: this._byId.get(task.split(".")[0] ?? "")?.workMs,
  });

  /** Returns whether tasks that last, cancelled or not, leave room for others with these ones. */
  private _hasRoomToLast(taskCount: number): boolean {
    const lasting = this.jobs
      .filter(({ workMs }) => workMs === undefined)
      .reduce((sum, job) => sum + job.taskCount, taskCount);
    const processorsMilli = this._pool.agents.length * PROCESSORS_MILLI;
    return lasting * STEP_CPU_MILLI <= MAX_LASTING_LOAD * processorsMilli;
  }

  private _createBody({ taskCount, workMs }: SoakJob): string {
    const step = { task_count: taskCount, cpu: STEP_CPU_MILLI, mem_mb: MEMORY_MB };
    const kind = workMs === undefined ? { long_running: true } : { estimate_ms: workMs };
    return JSON.stringify({ spec: "soak", steps: [{ ...step, ...kind }] });
  }

  /** Sends a request to one entry after the other until one gives a final answer. */
  private async _send(method: string, id: string, body?: string): Promise<number | undefined> {
    for (let tries = 0; tries < MAX_TRIES; tries += 1) {
      const entry = this._pool.entries[this._random.nextInt(this._pool.entries.length)];
      const answer = await callEntry(
        ...([entry?.submissions ?? "", method, `${PREFIX}${id}`, body] as const),
      ).catch(() => undefined);
      if (answer !== undefined && answer.status < 500) {
        return answer.status;
      }
      await sleep(RETRY_MS);
    }
    return undefined;
  }
}

/**
 * Waits for some time.
 * @param ms - The time, in milliseconds.
 */
export async function sleep(ms: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, ms));
}
