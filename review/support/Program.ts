/**
 * A program of the product as a separate process, started with the command of the deploy file.
 */
import { spawn, type ChildProcess } from "node:child_process";
import { closeSync, openSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import type { CaseRecord } from "./CaseRecord.ts";
import { readRunCommand } from "./template.ts";

/** What a program is started with. */
export interface ProgramOptions {
  readonly role: "entry" | "agent";
  readonly name: string;
  /** Text of its settings file. */
  readonly settings: string;
  /** Temporary folder for its settings and its log. */
  readonly folder: string;
  readonly record: CaseRecord;
}

const programs = new Set<Program>();

/** One program. */
export class Program {
  readonly name: string;
  /** Number of times that it has ended by itself. */
  ownEnds = 0;
  private readonly _options: ProgramOptions;
  private _child: ChildProcess | undefined;
  private _isToEnd = false;

  /**
   * Creates a program; it is not started yet.
   * @param options - What it is started with.
   */
  constructor(options: ProgramOptions) {
    this._options = options;
    this.name = options.name;
    writeFileSync(this._settingsFile, options.settings);
    programs.add(this);
  }

  /** Path of its log. */
  get logFile(): string {
    return join(this._options.folder, `${this.name}.log`);
  }

  /** Starts the process. */
  start(): void {
    const { role, record } = this._options;
    const [command = "", ...args] = readRunCommand(role);
    const { PATH, HOME, LANG } = process.env;
    const output = openSync(this.logFile, "a");
    const child = spawn(command, args, {
      stdio: ["ignore", output, output],
      env: { PATH, HOME, LANG, FIREFLYLB_SETTINGS: this._settingsFile },
    });
    closeSync(output);
    this._isToEnd = false;
    this._child = child;
    child.once("exit", (code, signal) => {
      if (!this._isToEnd) {
        this.ownEnds += 1;
        record.add("platform", `${this.name} ended by itself (${String(code ?? signal)})`);
      }
      this._child = undefined;
    });
  }

  /** Kills the process, as the platform's SIGKILL or a loss of power does. */
  kill(): void {
    this._isToEnd = true;
    this._child?.kill("SIGKILL");
  }

  /** Whether the process runs. */
  get isRunning(): boolean {
    return this._child !== undefined;
  }

  private get _settingsFile(): string {
    return join(this._options.folder, `${this.name}.ini`);
  }
}

/** Kills all programs that were started. */
export function killPrograms(): void {
  programs.forEach((program) => {
    program.kill();
  });
}
