/**
 * How much the tasks on its VM slow the backend stand-in down: read from the worker stand-in.
 */
import { request } from "undici";
import { z } from "zod";
import type { Clock, Timer } from "../../src/protocol/platform/Clock.ts";

const POLL_INTERVAL_MS = 200;

const Report = z.object({
  tasks: z.array(
    z.object({
      kind: z.string(),
      phase: z.string(),
      throttlePercent: z.number(),
      resources: z.object({ processorsMilli: z.number() }),
    }),
  ),
});

/** Slow-down by the tasks that run beside the server. */
export class Disturbance {
  private readonly _clock: Clock;
  private readonly _worker: string;
  private _byKind: Readonly<Record<string, number>> = {};
  private _factor = 1;
  private _timer: Timer | undefined;

  /**
   * Creates a disturbance of none.
   * @param clock - Clock of the reads.
   * @param worker - Address of the worker, as "host:port".
   */
  constructor(clock: Clock, worker: string) {
    this._clock = clock;
    this._worker = worker;
  }

  /** Factor of the service times now. */
  get factor(): number {
    return this._factor;
  }

  /**
   * Sets how much a kind of job disturbs.
   * @param byKind - Slow-down by each core of a running task, by kind of job.
   */
  setKinds(byKind: Readonly<Record<string, number>>): void {
    this._byKind = byKind;
    this.stop();
    void this._poll();
  }

  /** Ends the reads. */
  stop(): void {
    this._timer?.cancel();
  }

  private async _poll(): Promise<void> {
    const byKind = this._byKind;
    if (Object.keys(byKind).length === 0) {
      this._factor = 1;
      return;
    }
    this._factor = await this._readFactor().catch(() => 1);
    this._timer = this._clock.after(POLL_INTERVAL_MS, () => {
      void this._poll();
    });
  }

  private async _readFactor(): Promise<number> {
    const { body } = await request(`http://${this._worker}/v1/report`, {
      signal: AbortSignal.timeout(POLL_INTERVAL_MS),
    });
    return Report.parse(await body.json())
      .tasks.filter((task) => task.phase === "running")
      .map((task) => {
        const cores = (task.resources.processorsMilli * task.throttlePercent) / 100_000;
        return cores * (this._byKind[task.kind] ?? 0);
      })
      .reduce((sum, slowDown) => sum + slowDown, 1);
  }
}
