/**
 * The commands that run a role of the system: reading its settings file, then the process.
 */
import { errAsync, ResultAsync, type Result } from "neverthrow";
import type { SettingError } from "../protocol/errors/errors.ts";
import {
  Command,
  getTextFlag,
  type CommandFailure,
  type CommandInput,
  type CommandOutput,
} from "./Command.ts";
import { fileFailure, roleFailure, usageFailure } from "./failures.ts";
import { readText } from "./files.ts";

/** Runs one role until it is told to stop. */
export abstract class RoleCommand<S> extends Command {
  override readonly usage = "--settings FILE";

  override readonly details: readonly string[] = [
    "SIGTERM and SIGINT let requests in flight end before the process ends.",
  ];

  override readonly flags = {
    settings: { type: "string", value: "FILE", help: "Settings file in INI" },
  } as const;

  override run(input: CommandInput): ResultAsync<CommandOutput, CommandFailure> {
    const file = getTextFlag(input, "settings");
    if (file === undefined) {
      return errAsync(usageFailure("--settings is missing"));
    }
    return readText(file)
      .andThen((text) => this.readSettings(file, text).mapErr(fileFailure))
      .andThen((settings) => ResultAsync.fromPromise(this.runRole(settings), roleFailure))
      .map(() => ({ json: { stopped: true }, lines: [] }));
  }

  /** Reads the settings of the role. */
  protected abstract readSettings(file: string, text: string): Result<S, readonly SettingError[]>;

  /** Runs the role until it is told to stop. */
  protected abstract runRole(settings: S): Promise<void>;
}
