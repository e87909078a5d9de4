/**
 * Logs at intervals how busy the process is: its share of a core, how long its event loop was held up
 * at most, and its memory. With it, what is late because the process is overloaded can be told from
 * what is late for another reason.
 */
import type { Clock, Timer } from "../../protocol/platform/Clock.ts";
import type { Log } from "../../protocol/platform/Log.ts";

const LOG_INTERVAL_MS = 10_000;
/** Interval at which the event loop is sampled, in milliseconds. */
const SAMPLE_INTERVAL_MS = 250;
const US_PER_MS = 1_000;
const BYTES_PER_MB = 1_048_576;

/** Processor time and memory that a process has used. */
export interface ProcessUsage {
  /** Processor time since its start, in microseconds. */
  readonly processorUs: number;
  readonly residentBytes: number;
}

/** Dependencies of ProcessLoadLog. */
export interface ProcessLoadLogDependencies {
  readonly clock: Clock;
  readonly log: Log;
  readonly getUsage: () => ProcessUsage;
}

/** Logs the load of this process. */
export class ProcessLoadLog {
  private readonly _deps: ProcessLoadLogDependencies;
  private _timer: Timer | undefined;
  private _loggedAt = 0;
  private _loggedProcessorUs = 0;
  private _longestDelayMs = 0;

  /**
   * Creates a log that is inactive until `start` is called.
   * @param deps - Dependencies.
   */
  constructor(deps: ProcessLoadLogDependencies) {
    this._deps = deps;
  }

  /** Starts sampling. */
  start(): void {
    this._reset(this._deps.getUsage());
    this._scheduleSample();
  }

  /** Stops sampling. */
  stop(): void {
    this._timer?.cancel();
  }

  private _scheduleSample(): void {
    const { clock } = this._deps;
    const dueAt = clock.now() + SAMPLE_INTERVAL_MS;
    this._timer = clock.after(SAMPLE_INTERVAL_MS, () => {
      const now = clock.now();
      this._longestDelayMs = Math.max(this._longestDelayMs, now - dueAt);
      if (now - this._loggedAt >= LOG_INTERVAL_MS) {
        this._write(now);
      }
      this._scheduleSample();
    });
  }

  private _write(now: number): void {
    const usage = this._deps.getUsage();
    const elapsedUs = (now - this._loggedAt) * US_PER_MS;
    this._deps.log.info("Load of the process.", {
      processorShare: Number(
        ((usage.processorUs - this._loggedProcessorUs) / elapsedUs).toFixed(3),
      ),
      longestDelayMs: Math.round(this._longestDelayMs),
      residentMb: Math.round(usage.residentBytes / BYTES_PER_MB),
    });
    this._reset(usage);
  }

  private _reset({ processorUs }: ProcessUsage): void {
    this._loggedAt = this._deps.clock.now();
    this._loggedProcessorUs = processorUs;
    this._longestDelayMs = 0;
  }
}

/** Gets what this process has used. */
export function getProcessUsage(): ProcessUsage {
  const { user, system } = process.cpuUsage();
  return { processorUs: user + system, residentBytes: process.memoryUsage.rss() };
}
