/**
 * One process of a cluster: started, stopped, killed, frozen and started again by name.
 */
import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { closeSync, openSync, readFileSync } from "node:fs";
import type { ProcessGuard } from "./ProcessGuard.ts";

/** Time after which a process that was told to end is killed. */
const STOP_TIMEOUT_MS = 40_000;

/** How a process is started. */
export interface ManagedProcessOptions {
  readonly name: string;
  readonly command: string;
  readonly args: readonly string[];
  /** File that takes the output. */
  readonly logFile: string;
  readonly guard: ProcessGuard;
}

/** How a process ended. */
export interface ProcessEnd {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** A process that the cluster started. */
export class ManagedProcess {
  private readonly _options: ManagedProcessOptions;
  private _child: ChildProcess | undefined;
  private _ended: Promise<ProcessEnd> = Promise.resolve({ code: null, signal: null });

  /**
   * Creates a process that is not started.
   * @param options - How it is started.
   */
  constructor(options: ManagedProcessOptions) {
    this._options = options;
  }

  /** Name of the process. */
  get name(): string {
    return this._options.name;
  }

  /** Id of the process; undefined while it does not run. */
  get pid(): number | undefined {
    return this._child?.pid;
  }

  /** Resolves when the process has ended. */
  get ended(): Promise<ProcessEnd> {
    return this._ended;
  }

  /** Starts the process; one that runs is left alone. */
  start(): void {
    if (this._child !== undefined) {
      return;
    }
    const { command, args, logFile, guard } = this._options;
    const output = openSync(logFile, "a");
    const child = spawn(command, args, { stdio: ["ignore", output, output] });
    closeSync(output);
    this._child = child;
    const { pid } = child;
    if (pid !== undefined) {
      guard.add(pid);
    }
    this._ended = new Promise((resolve) => {
      child.once("error", () => {
        this._child = undefined;
        resolve({ code: null, signal: null });
      });
      child.once("exit", (code, signal) => {
        this._child = undefined;
        if (pid !== undefined) {
          guard.remove(pid);
        }
        resolve({ code, signal });
      });
    });
  }

  /** Tells the process to end and waits for it; one that does not end is killed. */
  async stop(): Promise<ProcessEnd> {
    this.signal("SIGCONT");
    this.signal("SIGTERM");
    const timer = setTimeout(() => {
      this.signal("SIGKILL");
    }, STOP_TIMEOUT_MS);
    const end = await this._ended;
    clearTimeout(timer);
    return end;
  }

  /** Kills the process as if its VM died, and waits for its end. */
  async kill(): Promise<void> {
    this.signal("SIGKILL");
    await this._ended;
  }

  /** Pauses the process. */
  pause(): void {
    this.signal("SIGSTOP");
  }

  /** Lets a paused process go on. */
  resume(): void {
    this.signal("SIGCONT");
  }

  /**
   * Sends a signal; a process that has ended is left alone.
   * @param signal - The signal.
   */
  signal(signal: NodeJS.Signals): void {
    this._child?.kill(signal);
  }

  /** Reads what the process wrote so far. */
  readLog(): string {
    return readFileSync(this._options.logFile, "utf8");
  }
}
