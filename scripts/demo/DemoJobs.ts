/**
 * Batch jobs of the demo.
 */
import { z } from "zod";
import { waitUntil } from "../../standins/cluster/waitUntil.ts";
import type { DemoCommands } from "./DemoCommands.ts";

const JOB_TIMEOUT_MS = 180_000;

const submittedJobSchema = z.object({ id: z.string() });
const jobStatusSchema = z.object({ state: z.string(), tasks: z.record(z.string(), z.number()) });

/** A job that the demo submits. */
export interface DemoJob {
  readonly tenant: string;
  readonly kind: string;
  readonly tasks: number;
  readonly cores: number;
  readonly command: string;
  readonly urgent: boolean;
}

/** A job and its state at the end. */
export interface FinishedJob {
  readonly job: DemoJob;
  readonly id: string;
  readonly state: string;
  readonly completedTasks: number;
}

/** Submits the jobs of the demo and waits for their end. */
export class DemoJobs {
  private readonly _commands: DemoCommands;
  private readonly _jobsById = new Map<string, DemoJob>();

  /**
   * Creates the jobs.
   * @param commands - Operator commands.
   */
  constructor(commands: DemoCommands) {
    this._commands = commands;
  }

  /**
   * Submits a job.
   * @param job - The job.
   */
  async submit(job: DemoJob): Promise<void> {
    const { tenant, kind, tasks, cores, command, urgent } = job;
    const args = [
      ...["job", "submit", "--tenant", tenant, "--kind", kind, "--key", `demo-${kind}`],
      ...["--tasks", tasks, "--processors", cores, "--memory-mib", 1_024].map(String),
      ...["--command", command, "--json", ...(urgent ? ["--urgent"] : [])],
    ];
    const output = await this._commands.runWithRetries(...args);
    this._jobsById.set(submittedJobSchema.parse(JSON.parse(output)).id, job);
  }

  /** Waits until every job has ended. */
  async waitForEnd(): Promise<readonly FinishedJob[]> {
    await waitUntil("all jobs have ended", JOB_TIMEOUT_MS, async () => {
      const jobs = await this._readJobs();
      return jobs.every(({ state }) => state === "completed" || state === "failed");
    });
    return this._readJobs();
  }

  private async _readJobs(): Promise<readonly FinishedJob[]> {
    return Promise.all(
      [...this._jobsById].map(async ([id, job]) => {
        const { output } = await this._commands.execute("job", "status", id, "--json");
        const { state, tasks } = jobStatusSchema.parse(JSON.parse(output));
        return { job, id, state, completedTasks: tasks.completed ?? 0 };
      }),
    );
  }
}
