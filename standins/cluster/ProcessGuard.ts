/**
 * Process that kills the processes of a cluster by pid if the process that started them dies.
 */
import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { join } from "node:path";

/** Guard of a cluster's processes. */
export class ProcessGuard {
  private readonly _child: ChildProcess;

  /** Starts the guard process. */
  constructor() {
    const script = join(import.meta.dirname, "guard.ts");
    this._child = spawn(process.execPath, [script], { stdio: ["pipe", "ignore", "inherit"] });
  }

  /**
   * Registers a process to be killed if the starting process dies.
   * @param pid - Id of the process.
   */
  add(pid: number): void {
    this._child.stdin?.write(`+${pid}\n`);
  }

  /**
   * Removes a process that has exited.
   * @param pid - Id of the process.
   */
  remove(pid: number): void {
    this._child.stdin?.write(`-${pid}\n`);
  }

  /** Stops the guard, which kills the processes that are still registered. */
  async stop(): Promise<void> {
    const ended = new Promise<void>((resolve) => {
      this._child.once("exit", () => {
        resolve();
      });
    });
    this._child.stdin?.end();
    await ended;
  }
}
