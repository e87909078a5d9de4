/**
 * Base of the program's commands: name, help, flags and arguments.
 */
import type { ResultAsync } from "neverthrow";
import type { ExitCodeValue } from "./ExitCode.ts";

/** Type and help of a flag. */
export interface FlagSpec {
  readonly type: "string" | "boolean";
  readonly help: string;
  /** Placeholder for the value in the help. */
  readonly value?: string;
}

/** Flags by name in camel case, as in "baseRevision" for --base-revision. */
export type FlagSpecs = Readonly<Record<string, FlagSpec>>;

/** Arguments and flags that follow the name of the command. */
export interface CommandInput {
  readonly args: readonly string[];
  readonly flags: Readonly<Record<string, string | boolean | undefined>>;
}

/** Output of a command: JSON for scripts, lines for people. */
export interface CommandOutput {
  readonly json: unknown;
  readonly lines: readonly string[];
}

/** Why a command failed. */
export interface CommandFailure {
  readonly exitCode: ExitCodeValue;
  /** Stable error code. */
  readonly code: string;
  /** Messages for people, one per line. */
  readonly lines: readonly string[];
  /** Further details for scripts. */
  readonly json?: unknown;
}

/** A command of the program. */
export abstract class Command {
  /** Name of the command, one or more words, such as "profile apply". */
  abstract readonly words: string;

  /** Arguments as the usage line shows them. */
  readonly usage: string = "";

  /** One-line description of the command. */
  abstract readonly summary: string;

  /** Further lines of the help. */
  readonly details: readonly string[] = [];

  /** Flags besides --help and --json. */
  readonly flags: FlagSpecs = {};

  /** Minimum and maximum number of arguments. */
  readonly argCount: readonly [number, number] = [0, 0];

  /**
   * Runs the command.
   * @param input - Arguments and flags.
   */
  abstract run(input: CommandInput): ResultAsync<CommandOutput, CommandFailure>;
}

/**
 * Gets the text value of a flag; undefined where the flag is absent.
 * @param input - Arguments and flags.
 * @param name - Name of the flag in camel case.
 */
export function getTextFlag(input: CommandInput, name: string): string | undefined {
  const value = input.flags[name];
  return typeof value === "string" ? value : undefined;
}

/**
 * Returns whether a boolean flag is set.
 * @param input - Arguments and flags.
 * @param name - Name of the flag in camel case.
 */
export function isFlagSet(input: CommandInput, name: string): boolean {
  return input.flags[name] === true;
}
