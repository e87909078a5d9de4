/**
 * The command `job list`.
 */
import { getTextFlag, type CommandInput } from "./Command.ts";
import { API_FLAGS } from "./ApiClient.ts";
import { ReadCommand } from "./ReadCommand.ts";

/** Lists jobs. */
export class JobListCommand extends ReadCommand {
  override readonly words = "job list";
  override readonly usage = "[--tenant NAME]";
  override readonly summary = "List the jobs";
  override readonly flags = {
    tenant: { type: "string", value: "NAME", help: "Only jobs of this tenant" },
    ...API_FLAGS,
  } as const;

  protected override getPath(input: CommandInput): string {
    const tenant = getTextFlag(input, "tenant");
    return tenant === undefined ? "/v1/jobs" : `/v1/jobs?tenant=${encodeURIComponent(tenant)}`;
  }
}
