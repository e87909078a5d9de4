/**
 * Slowdown of the backend stand-in by the tasks on its VM, which it reads from the worker stand-in.
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

/** Slowdown of the server by the tasks on the same VM. */
export class Disturbance {
  private readonly _clock: Clock;
  private readonly _worker: string;
  private _byKind: Readonly<Record<string, number>> = {};
  private _factor = 1;
  private _timer: Timer | undefined;

  /**
   * Creates an instance without a slowdown.
   * @param clock - Clock of the polling interval.
   * @param worker - Address of the worker, as "host:port".
   */
  constructor(clock: Clock, worker: string) {
    this._clock = clock;
    this._worker = worker;
  }

  /** Current factor by which service times are multiplied. */
  get factor(): number {
    return this._factor;
  }

  /**
   * Sets the slowdown caused by each kind of job and starts polling the worker.
   * @param byKind - Increase of the factor for each core of a running task, by kind of job.
   */
  setKinds(byKind: Readonly<Record<string, number>>): void {
    this._byKind = byKind;
    this.stop();
    void this._poll();
  }

  /** Stops polling the worker. */
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
