/**
 * Process of a cluster that tests can start, stop, kill, pause and restart.
 */
import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { closeSync, openSync, readFileSync } from "node:fs";
import type { ProcessGuard } from "./ProcessGuard.ts";

/** Time after SIGTERM after which a process is killed. */
const STOP_TIMEOUT_MS = 40_000;

/** Options of a process. */
export interface ManagedProcessOptions {
  readonly name: string;
  readonly command: string;
  readonly args: readonly string[];
  /** Path of the file to which its output is appended. */
  readonly logFile: string;
  readonly guard: ProcessGuard;
  /** Variables that its environment has in addition. */
  readonly env?: Readonly<Record<string, string>>;
}

/** Exit status of a process; code and signal are null if it failed to start. */
export interface ProcessEnd {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** Process of a cluster. */
export class ManagedProcess {
  private readonly _options: ManagedProcessOptions;
  private _child: ChildProcess | undefined;
  private _ended: Promise<ProcessEnd> = Promise.resolve({ code: null, signal: null });

  /**
   * Creates a process without starting it.
   * @param options - Options of the process.
   */
  constructor(options: ManagedProcessOptions) {
    this._options = options;
  }

  /** Name of the process. */
  get name(): string {
    return this._options.name;
  }

  /** Process id; undefined while the process is not running. */
  get pid(): number | undefined {
    return this._child?.pid;
  }

  /** Resolves when the process has exited. */
  get ended(): Promise<ProcessEnd> {
    return this._ended;
  }

  /** Starts the process; does nothing if it is running. */
  start(): void {
    if (this._child !== undefined) {
      return;
    }
    const { command, args, logFile, guard, env } = this._options;
    const output = openSync(logFile, "a");
    const child = spawn(command, args, {
      stdio: ["ignore", output, output],
      env: { ...process.env, ...env },
    });
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

  /** Terminates the process and waits for its exit; kills it if it does not exit in time. */
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

  /** Kills the process, as when its VM fails, and waits for its exit. */
  async kill(): Promise<void> {
    this.signal("SIGKILL");
    await this._ended;
  }

  /** Pauses the process with SIGSTOP. */
  pause(): void {
    this.signal("SIGSTOP");
  }

  /** Resumes a paused process. */
  resume(): void {
    this.signal("SIGCONT");
  }

  /**
   * Sends a signal to the process; does nothing if it is not running.
   * @param signal - The signal.
   */
  signal(signal: NodeJS.Signals): void {
    this._child?.kill(signal);
  }

  /** Reads the output of the process so far. */
  readLog(): string {
    return readFileSync(this._options.logFile, "utf8");
  }
}
