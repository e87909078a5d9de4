/**
 * The command `job status`.
 */
import type { CommandInput } from "./Command.ts";
import { ReadCommand } from "./ReadCommand.ts";

/** Shows one job with its tasks. */
export class JobStatusCommand extends ReadCommand {
  override readonly words = "job status";
  override readonly usage = "ID";
  override readonly summary = "Show a job and its tasks";
  override readonly argCount = [1, 1] as const;
  protected override readonly tryAllEntries = true;

  protected override getPath(input: CommandInput): string {
    return `/v1/jobs/${encodeURIComponent(input.args[0] ?? "")}`;
  }
}
