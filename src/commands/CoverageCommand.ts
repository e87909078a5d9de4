/**
 * The command `change coverage`.
 */
import type { CommandInput } from "./Command.ts";
import { ReadCommand } from "./ReadCommand.ts";

/** Shows at which processes a revision of the configuration is in force. */
export class CoverageCommand extends ReadCommand {
  override readonly words = "change coverage";
  override readonly usage = "REVISION";
  override readonly summary = "Show how many processes have a revision in force, and which do not";
  override readonly argCount = [1, 1] as const;

  protected override getPath(input: CommandInput): string {
    return `/v1/config/coverage?revision=${encodeURIComponent(input.args[0] ?? "")}`;
  }
}
