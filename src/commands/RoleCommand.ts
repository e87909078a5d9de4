/**
 * Base of the commands that run an entry or an agent with the settings of a file.
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

/** Runs one role until the process gets SIGTERM or SIGINT. */
export abstract class RoleCommand<S> extends Command {
  override readonly usage = "--settings FILE";

  override readonly details: readonly string[] = [
    "On SIGTERM or SIGINT, requests in flight are completed before the process exits.",
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

  /** Parses the settings file of the role. */
  protected abstract readSettings(file: string, text: string): Result<S, readonly SettingError[]>;

  /** Runs the role; resolves when it has stopped. */
  protected abstract runRole(settings: S): Promise<void>;
}
