/**
 * Failures that several commands share.
 */
import { FireflylbError, ListenError, SettingError } from "../protocol/errors/errors.ts";
import type { CommandFailure } from "./Command.ts";
import { ExitCode } from "./ExitCode.ts";

/**
 * Creates the failure of a command that was called with wrong arguments.
 * @param detail - What is wrong.
 */
export function usageFailure(detail: string): CommandFailure {
  return { exitCode: ExitCode.usage, code: "usage", lines: [detail] };
}

/**
 * Creates the failure for an invalid file.
 * @param problems - All problems of the file.
 */
export function fileFailure(problems: readonly FireflylbError[]): CommandFailure {
  return {
    exitCode: ExitCode.badFile,
    code: problems[0]?.code ?? "bad-file",
    lines: problems.map((problem) => problem.message),
    json: { problems: problems.map(describeProblem) },
  };
}

/**
 * Creates the failure for a file that cannot be read.
 * @param file - Name of the file.
 * @param reason - Error message of the operating system.
 */
export function unreadableFailure(file: string, reason: string): CommandFailure {
  const lines = [`${file}: cannot be read: ${reason}`];
  return { exitCode: ExitCode.badFile, code: "unreadable-file", lines };
}

/**
 * Creates the failure of a role that did not start or ended with an error.
 * @param cause - The thrown value.
 */
export function roleFailure(cause: unknown): CommandFailure {
  if (cause instanceof ListenError) {
    return { exitCode: ExitCode.cannotListen, code: cause.code, lines: [cause.message] };
  }
  const code = cause instanceof FireflylbError ? cause.code : "fault";
  const detail = cause instanceof Error ? (cause.stack ?? cause.message) : String(cause);
  return { exitCode: ExitCode.fault, code, lines: [detail] };
}

function describeProblem(problem: FireflylbError): Readonly<Record<string, string>> {
  if (!(problem instanceof SettingError)) {
    return { code: problem.code, detail: problem.message };
  }
  const { code, file, section, key, value, allowed } = problem;
  return { code, file, section, key, value, allowed };
}
