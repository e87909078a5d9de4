/**
 * Sends configuration changes and reports their outcomes. A change has an id, so that sending it
 * twice is safe. Where the outcome stays unknown, the failure names the command that settles it.
 */
import { randomUUID } from "node:crypto";
import { err, errAsync, ok, okAsync, type Result, type ResultAsync } from "neverthrow";
import type { ConfigOperation } from "../protocol/config/ConfigChange.ts";
import {
  ApiClient,
  isObject,
  refusalFailure,
  unreachableFailure,
  type ApiResponse,
  type ApiCallFailure,
} from "./ApiClient.ts";
import {
  getTextFlag,
  isFlagSet,
  type CommandFailure,
  type CommandInput,
  type CommandOutput,
  type FlagSpecs,
} from "./Command.ts";
import { readConfig } from "./ConfigReader.ts";
import { ExitCode } from "./ExitCode.ts";
import { CoveragePoller } from "./CoveragePoller.ts";
import { usageFailure } from "./failures.ts";
import { render } from "./render.ts";

const REVISION_PATTERN = /^\d{1,15}$/;

/** Flags of all commands that change the configuration. */
export const CHANGE_FLAGS: FlagSpecs = {
  base: {
    type: "string",
    value: "REVISION",
    help: "Refuse the change if the same values have changed since REVISION",
  },
  note: { type: "string", value: "TEXT", help: "Reason for the change, recorded in the history" },
  author: { type: "string", value: "NAME", help: "Author of the change; default: USER" },
  changeId: { type: "string", value: "ID", help: "Id of the change; default: a new one" },
  wait: { type: "boolean", help: "Wait until the change is in force at every process" },
};

/** A change before it is sent. */
export interface ChangeRequest {
  readonly operations: readonly ConfigOperation[];
  /** Revision that the change is based on, unless the flag --base overrides it. */
  readonly baseRevision?: number | undefined;
}

/** A change that has been sent. */
interface SentChange {
  readonly changeId: string;
  readonly sinceRevision: number;
}

/**
 * Sends a configuration change.
 * @param input - Arguments and flags of the command.
 * @param change - The change.
 */
export function sendChange(
  input: CommandInput,
  change: ChangeRequest,
): ResultAsync<CommandOutput, CommandFailure> {
  const client = ApiClient.fromInput(input);
  const base = getTextFlag(input, "base");
  if (base !== undefined && !REVISION_PATTERN.test(base)) {
    return errAsync(usageFailure("--base needs a revision"));
  }
  return readConfig(client).andThen(({ revision }) => {
    const sent = {
      changeId: getTextFlag(input, "changeId") ?? randomUUID(),
      sinceRevision: revision,
    };
    const body = {
      changeId: sent.changeId,
      author: getTextFlag(input, "author") ?? process.env.USER ?? "operator",
      note: getTextFlag(input, "note") ?? "",
      baseRevision: base === undefined ? change.baseRevision : Number(base),
      operations: change.operations,
    };
    return client
      .call({ method: "POST", path: "/v1/config/changes", body })
      .mapErr((problem) => toChangeFailure(problem, sent))
      .andThen((response) => toChangeOutput(response, sent))
      .andThen((output) =>
        isFlagSet(input, "wait") ? waitForCoverage(client, output) : okAsync(output),
      );
  });
}

function waitForCoverage(
  client: ApiClient,
  accepted: CommandOutput,
): ResultAsync<CommandOutput, CommandFailure> {
  const revision = isObject(accepted.json) ? Number(accepted.json.revision) : 0;
  return new CoveragePoller(client).waitFor(revision).map((coverage) => ({
    json: { ...(isObject(accepted.json) ? accepted.json : {}), coverage },
    lines: [...accepted.lines, `in force at all ${coverage.total} processes`],
  }));
}

/**
 * Converts the outcome in an entry's response to the output or failure of the command.
 * @param response - Response of the entry.
 * @param sent - The change that was sent.
 */
export function toChangeOutput(
  response: ApiResponse,
  sent: SentChange,
): Result<CommandOutput, CommandFailure> {
  const outcome = isObject(response.body) ? response.body : {};
  if (outcome.kind === "accepted") {
    const line = `accepted as revision ${String(outcome.revision)} (change ${sent.changeId})`;
    return ok({ json: outcome, lines: [line] });
  }
  if (outcome.kind === "unknown") {
    return err(unknownOutcomeFailure(String(outcome.detail), sent, outcome));
  }
  if (outcome.kind !== "refused") {
    return err(refusalFailure(response));
  }
  const conflicts = Array.isArray(outcome.conflicts) ? outcome.conflicts : [];
  const shown = conflicts.length > 0 ? render(conflicts) : [];
  const unavailable = outcome.reason === "store-unavailable";
  return err({
    exitCode: unavailable ? ExitCode.unavailable : ExitCode.refused,
    code: String(outcome.reason),
    lines: [String(outcome.detail), ...shown],
    json: outcome,
  });
}

function toChangeFailure(failure: ApiCallFailure, sent: SentChange): CommandFailure {
  return failure.mayHaveActed
    ? unknownOutcomeFailure(failure.detail, sent, { changeId: sent.changeId })
    : unreachableFailure(failure);
}

function unknownOutcomeFailure(detail: string, sent: SentChange, json: unknown): CommandFailure {
  const settle = `fireflylb change settle ${sent.changeId} --since ${sent.sinceRevision}`;
  const lines = [`${detail}; the change may or may not be in force`, `settle it with: ${settle}`];
  return { exitCode: ExitCode.unknown, code: "outcome-unknown", lines, json };
}
