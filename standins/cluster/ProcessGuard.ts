/**
 * The guard of a cluster's processes: a process that kills them by pid if the starter dies.
 */
import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { join } from "node:path";

/** Guard of processes. */
export class ProcessGuard {
  private readonly _child: ChildProcess;

  /** Starts the guard. */
  constructor() {
    const script = join(import.meta.dirname, "guard.ts");
    this._child = spawn(process.execPath, [script], { stdio: ["pipe", "ignore", "inherit"] });
  }

  /**
   * Has a process killed if the starter dies.
   * @param pid - Id of the process.
   */
  add(pid: number): void {
    this._child.stdin?.write(`+${pid}\n`);
  }

  /**
   * Leaves a process alone from now on: it has ended.
   * @param pid - Id of the process.
   */
  remove(pid: number): void {
    this._child.stdin?.write(`-${pid}\n`);
  }

  /** Ends the guard, which kills what is still listed. */
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
