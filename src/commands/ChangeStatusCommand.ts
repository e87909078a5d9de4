/**
 * The command `change status`.
 */
import { errAsync, type ResultAsync } from "neverthrow";
import { API_FLAGS, ApiClient, unreachableFailure } from "./ApiClient.ts";
import { toChangeOutput } from "./configChanges.ts";
import {
  Command,
  getTextFlag,
  type CommandFailure,
  type CommandInput,
  type CommandOutput,
} from "./Command.ts";
import { usageFailure } from "./failures.ts";

const REVISION_PATTERN = /^\d{1,15}$/;

/** Shows the outcome of a change without side effects. */
export class ChangeStatusCommand extends Command {
  override readonly words: string = "change status";
  override readonly usage = "ID --since REVISION";
  override readonly summary: string = "Show whether a change took effect";
  override readonly argCount = [1, 1] as const;
  override readonly flags = {
    since: { type: "string", value: "REVISION", help: "Revision in force before the change" },
    ...API_FLAGS,
  } as const;

  /** Method of the call and suffix of its path. */
  protected readonly action: { readonly method: "GET" | "POST"; readonly suffix: string } = {
    method: "GET",
    suffix: "",
  };

  override run(input: CommandInput): ResultAsync<CommandOutput, CommandFailure> {
    const [changeId = ""] = input.args;
    const since = getTextFlag(input, "since") ?? "";
    if (!REVISION_PATTERN.test(since)) {
      return errAsync(usageFailure("--since needs a revision"));
    }
    const { method, suffix } = this.action;
    const path = `/v1/config/changes/${encodeURIComponent(changeId)}${suffix}?since=${since}`;
    return ApiClient.fromInput(input)
      .call({ method, path })
      .mapErr(unreachableFailure)
      .andThen((response) => toChangeOutput(response, { changeId, sinceRevision: Number(since) }));
  }
}
