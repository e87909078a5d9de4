/**
 * Process of the built binary, for tests that use the product through its command line.
 */
import { spawn, type ChildProcess } from "node:child_process";
import { once } from "node:events";
import { mkdtemp, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createInterface } from "node:readline";
import type { ExecutionContext } from "ava";

const BINARY = "dist/fireflylb";

/** Exit code and output of a process. */
export interface ProcessEnd {
  readonly code: number | null;
  readonly out: string;
  readonly err: string;
}

/** Process of the built binary. */
export class ProductProcess {
  private readonly _child: ChildProcess;
  private readonly _ended: Promise<unknown>;
  private readonly _out: string[] = [];
  private readonly _err: string[] = [];

  private constructor(args: readonly string[], env: NodeJS.ProcessEnv) {
    this._child = spawn(BINARY, args, { stdio: ["ignore", "pipe", "pipe"], env });
    this._ended = once(this._child, "close");
    this._collect(this._child.stdout, this._out);
    this._collect(this._child.stderr, this._err);
  }

  /**
   * Starts a process, which is killed when the test ends.
   * @param t - Context of the test.
   * @param args - Command line arguments.
   * @param env - Additional environment variables.
   */
  static start(
    t: ExecutionContext,
    args: readonly string[],
    env: NodeJS.ProcessEnv = {},
  ): ProductProcess {
    const started = new ProductProcess(args, { ...process.env, ...env });
    t.teardown(async () => {
      started._child.kill("SIGKILL");
      await started._ended;
    });
    return started;
  }

  /**
   * Starts a role with a settings file.
   * @param t - Context of the test.
   * @param role - Role to start.
   * @param settings - Content of the settings file.
   */
  static async startRole(
    t: ExecutionContext,
    role: "entry" | "agent",
    settings: string,
  ): Promise<ProductProcess> {
    const file = await writeTemporaryFile(`${role}.ini`, settings);
    return ProductProcess.start(t, [role, "--settings", file]);
  }

  /** Waits for the process to exit. */
  async waitForEnd(): Promise<ProcessEnd> {
    await this._ended;
    return {
      code: this._child.exitCode,
      out: this._out.join("\n"),
      err: this._err.join("\n"),
    };
  }

  /**
   * Waits for a line on standard output; rejects if the process exits without it.
   * @param pattern - Pattern that the line matches.
   */
  async waitForLine(pattern: RegExp): Promise<string> {
    const seen = this._out.find((line) => pattern.test(line));
    if (seen !== undefined) {
      return seen;
    }
    return new Promise((resolve, reject) => {
      this._child.on("line", (line: string) => {
        if (pattern.test(line)) {
          resolve(line);
        }
      });
      void this._ended.then(() => {
        reject(
          new Error(
            `process exited without a line that matches ${pattern.source}: ${this._err.join("\n")}`,
          ),
        );
      });
    });
  }

  /**
   * Sends a signal.
   * @param signal - The signal.
   */
  signal(signal: NodeJS.Signals): void {
    this._child.kill(signal);
  }

  private _collect(stream: ChildProcess["stdout"], lines: string[]): void {
    if (stream === null) {
      return;
    }
    createInterface({ input: stream }).on("line", (line) => {
      lines.push(line);
      this._child.emit("line", line);
    });
  }
}

/**
 * Runs the binary and waits for its exit.
 * @param t - Context of the test.
 * @param args - Command line arguments.
 * @param env - Additional environment variables.
 */
export async function runProduct(
  t: ExecutionContext,
  args: readonly string[],
  env: NodeJS.ProcessEnv = {},
): Promise<ProcessEnd> {
  return ProductProcess.start(t, args, env).waitForEnd();
}

/**
 * Writes a file into a new temporary directory and returns its path.
 * @param name - Name of the file.
 * @param text - Content of the file.
 */
export async function writeTemporaryFile(name: string, text: string): Promise<string> {
  const file = join(await mkdtemp(join(tmpdir(), "fireflylb-")), name);
  await writeFile(file, text);
  return file;
}
