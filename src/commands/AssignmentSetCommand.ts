/**
 * The command `assignment set`.
 */
import type { ResultAsync } from "neverthrow";
import { API_FLAGS } from "./ApiClient.ts";
import { CHANGE_FLAGS, sendChange } from "./configChanges.ts";
import { Command, type CommandFailure, type CommandInput, type CommandOutput } from "./Command.ts";

/** Assigns a profile to a service. */
export class AssignmentSetCommand extends Command {
  override readonly words = "assignment set";
  override readonly usage = "SERVICE PROFILE";
  override readonly summary = "Assign a profile to a service";
  override readonly argCount = [2, 2] as const;
  override readonly flags = { ...CHANGE_FLAGS, ...API_FLAGS };

  override run(input: CommandInput): ResultAsync<CommandOutput, CommandFailure> {
    const [service = "", profile = ""] = input.args;
    return sendChange(input, { operations: [{ kind: "set-assignment", service, profile }] });
  }
}
