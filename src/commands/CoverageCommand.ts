/**
 * The command `change coverage`.
 */
import type { CommandInput } from "./Command.ts";
import { ReadCommand } from "./ReadCommand.ts";

/** Shows which processes hold a revision of the configuration. */
export class CoverageCommand extends ReadCommand {
  override readonly words = "change coverage";
  override readonly usage = "REVISION";
  override readonly summary = "Show how many processes hold a revision, and which do not";
  override readonly argCount = [1, 1] as const;

  protected override getPath(input: CommandInput): string {
    return `/v1/config/coverage?revision=${encodeURIComponent(input.args[0] ?? "")}`;
  }
}
