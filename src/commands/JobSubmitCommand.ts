/**
 * The command `job submit`.
 */
import { randomUUID } from "node:crypto";
import { err, ok, Result, type ResultAsync } from "neverthrow";
import { jobSpecSchema, type JobSpec } from "../protocol/jobs/JobSpec.ts";
import {
  API_FLAGS,
  ApiClient,
  refusalFailure,
  unreachableFailure,
  type ApiResponse,
  type ApiCallFailure,
} from "./ApiClient.ts";
import {
  Command,
  getTextFlag,
  isFlagSet,
  type CommandFailure,
  type CommandInput,
  type CommandOutput,
} from "./Command.ts";
import { ExitCode } from "./ExitCode.ts";
import { readText } from "./files.ts";
import { BYTES_PER_MIB, MILLI_PER_CORE, readNumberFlag } from "./numberFlags.ts";
import { render } from "./render.ts";

const FIRST_ERROR = 400;

/** Submits a job. */
export class JobSubmitCommand extends Command {
  override readonly words = "job submit";
  override readonly usage =
    "[FILE] | --tenant NAME --kind NAME --processors CORES --memory-mib MIB";
  override readonly summary = "Submit a batch job";
  override readonly details = [
    "FILE holds the whole specification as JSON; without FILE, flags specify the job. Submitting",
    "again with the same tenant and key never creates a second job.",
  ];
  override readonly argCount = [0, 1] as const;
  override readonly flags = {
    tenant: { type: "string", value: "NAME", help: "Tenant whose quota the job uses" },
    kind: { type: "string", value: "NAME", help: "Kind of work" },
    key: { type: "string", value: "KEY", help: "Key of the submission; default: a new one" },
    urgent: { type: "boolean", help: "Start ahead of jobs that are not urgent" },
    tasks: { type: "string", value: "N", help: "Number of tasks; default: 1" },
    processors: { type: "string", value: "CORES", help: "Processors of a task, in cores" },
    memoryMib: { type: "string", value: "MIB", help: "Memory of a task, in MiB" },
    accelerators: { type: "string", value: "N", help: "Accelerators of a task; default: 0" },
    command: { type: "string", value: "TEXT", help: "What the worker runs" },
    maxFailures: { type: "string", value: "N", help: "Failed attempts before a task is abandoned" },
    runTimeMs: { type: "string", value: "MS", help: "Declared run time of a task" },
    ...API_FLAGS,
  } as const;

  override run(input: CommandInput): ResultAsync<CommandOutput, CommandFailure> {
    const [file] = input.args;
    const read: ResultAsync<unknown, CommandFailure> =
      file === undefined
        ? readFlags(input).asyncMap((spec) => Promise.resolve(spec))
        : readText(file).andThen((text) => parseFile(file, text));
    return read.andThen(checkSpec).andThen((spec) => submit(input, spec));
  }
}

function readFlags(input: CommandInput): Result<unknown, CommandFailure> {
  const numbers = Result.combine([
    readNumberFlag(input, "processors"),
    readNumberFlag(input, "memoryMib"),
    readNumberFlag(input, "accelerators", 0),
    readNumberFlag(input, "tasks", 1),
    readNumberFlag(input, "maxFailures", 5),
    readNumberFlag(input, "runTimeMs", 0),
  ]);
  return numbers.map(([cores, mib, accelerators, tasks, maxFailures, runTimeMs]) => ({
    key: getTextFlag(input, "key") ?? randomUUID(),
    tenant: getTextFlag(input, "tenant"),
    kind: getTextFlag(input, "kind"),
    urgent: isFlagSet(input, "urgent"),
    tasks,
    resources: {
      processorsMilli: Math.round(cores * MILLI_PER_CORE),
      memoryBytes: Math.round(mib * BYTES_PER_MIB),
      accelerators,
    },
    command: getTextFlag(input, "command") ?? "",
    maxFailures,
    runTimeMs,
  }));
}

function parseFile(file: string, text: string): Result<unknown, CommandFailure> {
  const parse = Result.fromThrowable(JSON.parse as (json: string) => unknown, (cause) =>
    badSpecFailure([
      `${file}: not JSON: ${cause instanceof Error ? cause.message : String(cause)}`,
    ]),
  );
  return parse(text);
}

function checkSpec(spec: unknown): Result<JobSpec, CommandFailure> {
  const parsed = jobSpecSchema.safeParse(spec);
  if (parsed.success) {
    return ok(parsed.data);
  }
  return err(
    badSpecFailure(parsed.error.issues.map(({ path, message }) => `${path.join(".")}: ${message}`)),
  );
}

function badSpecFailure(lines: readonly string[]): CommandFailure {
  return { exitCode: ExitCode.badFile, code: "bad-job", lines };
}

function submit(input: CommandInput, spec: JobSpec): ResultAsync<CommandOutput, CommandFailure> {
  return ApiClient.fromInput(input)
    .call({ method: "POST", path: "/v1/jobs", body: spec })
    .mapErr((problem) => toSubmitFailure(problem, spec))
    .andThen((response) => toSubmitOutput(response, spec));
}

function toSubmitOutput(
  response: ApiResponse,
  spec: JobSpec,
): Result<CommandOutput, CommandFailure> {
  if (response.status < FIRST_ERROR) {
    return ok({ json: response.body, lines: render(response.body) });
  }
  const failure = refusalFailure(response);
  return failure.exitCode === ExitCode.unknown
    ? err(unknownOutcomeFailure(failure.lines[0] ?? "", spec))
    : err(failure);
}

function toSubmitFailure(failure: ApiCallFailure, spec: JobSpec): CommandFailure {
  return failure.mayHaveActed
    ? unknownOutcomeFailure(failure.detail, spec)
    : unreachableFailure(failure);
}

function unknownOutcomeFailure(detail: string, spec: JobSpec): CommandFailure {
  const lines = [
    `${detail}; the job may or may not have been submitted`,
    `find out by submitting again with --key ${spec.key}`,
  ];
  const json = { key: spec.key, tenant: spec.tenant };
  return { exitCode: ExitCode.unknown, code: "outcome-unknown", lines, json };
}
