/**
 * A command of the program: its words, help and flags, and what it does.
 */
import type { ResultAsync } from "neverthrow";
import type { ExitCodeValue } from "./ExitCode.ts";

/** A flag as the help shows it. */
export interface FlagSpec {
  readonly type: "string" | "boolean";
  readonly help: string;
  /** Word that stands for the value in the help. */
  readonly value?: string;
}

/** Flags by name in camel case, as in "baseRevision" for --base-revision. */
export type FlagSpecs = Readonly<Record<string, FlagSpec>>;

/** What the operator typed after the command's words. */
export interface CommandInput {
  readonly args: readonly string[];
  readonly flags: Readonly<Record<string, string | boolean | undefined>>;
}

/** What a command has found or done, for scripts and for people. */
export interface CommandOutput {
  readonly json: unknown;
  readonly lines: readonly string[];
}

/** Why a command failed. */
export interface CommandFailure {
  readonly exitCode: ExitCodeValue;
  /** Stable code. */
  readonly code: string;
  /** Sentences for people, one a line. */
  readonly lines: readonly string[];
  /** Further values for scripts. */
  readonly json?: unknown;
}

/** A command. */
export abstract class Command {
  /** Words that call the command, as in "profile apply". */
  abstract readonly words: string;

  /** Arguments as the usage line shows them. */
  readonly usage: string = "";

  /** What the command does, in one line. */
  abstract readonly summary: string;

  /** Further lines of the help. */
  readonly details: readonly string[] = [];

  /** Flags besides --help and --json. */
  readonly flags: FlagSpecs = {};

  /** Fewest and most arguments. */
  readonly argCount: readonly [number, number] = [0, 0];

  /**
   * Runs the command.
   * @param input - Arguments and flags.
   */
  abstract run(input: CommandInput): ResultAsync<CommandOutput, CommandFailure>;
}

/**
 * Gives a flag's text; undefined where it was not given.
 * @param input - Arguments and flags.
 * @param name - Name of the flag in camel case.
 */
export function getTextFlag(input: CommandInput, name: string): string | undefined {
  const value = input.flags[name];
  return typeof value === "string" ? value : undefined;
}

/**
 * Tells whether a flag without value was given.
 * @param input - Arguments and flags.
 * @param name - Name of the flag in camel case.
 */
export function isFlagSet(input: CommandInput, name: string): boolean {
  return input.flags[name] === true;
}
