/**
 * The command `job cancel`.
 */
import { err, ok, type ResultAsync } from "neverthrow";
import {
  API_FLAGS,
  ApiClient,
  refusalFailure,
  unreachableFailure,
  type ApiResponse,
  type ApiCallFailure,
} from "./ApiClient.ts";
import { Command, type CommandFailure, type CommandInput, type CommandOutput } from "./Command.ts";
import { ExitCode } from "./ExitCode.ts";
import { render } from "./render.ts";

const FIRST_ERROR = 400;

/** Cancels a job. */
export class JobCancelCommand extends Command {
  override readonly words = "job cancel";
  override readonly usage = "ID";
  override readonly summary = "Cancel a job; its running tasks are stopped";
  override readonly argCount = [1, 1] as const;
  override readonly flags = API_FLAGS;

  override run(input: CommandInput): ResultAsync<CommandOutput, CommandFailure> {
    const path = `/v1/jobs/${encodeURIComponent(input.args[0] ?? "")}`;
    return ApiClient.fromInput(input)
      .call({ method: "DELETE", path })
      .mapErr(toCancelFailure)
      .andThen((response) =>
        response.status < FIRST_ERROR
          ? ok({ json: response.body, lines: render(response.body) })
          : err(toRefusalFailure(response)),
      );
  }
}

function toRefusalFailure(response: ApiResponse): CommandFailure {
  const failure = refusalFailure(response);
  return failure.exitCode === ExitCode.unknown
    ? unknownOutcomeFailure(failure.lines[0] ?? "")
    : failure;
}

function toCancelFailure(failure: ApiCallFailure): CommandFailure {
  return failure.mayHaveActed ? unknownOutcomeFailure(failure.detail) : unreachableFailure(failure);
}

function unknownOutcomeFailure(detail: string): CommandFailure {
  const lines = [
    `${detail}; the job may or may not be cancelled`,
    "find out by cancelling again, which is safe",
  ];
  return { exitCode: ExitCode.unknown, code: "outcome-unknown", lines };
}
