/**
 * Parses numeric flags.
 */
import { err, ok, type Result } from "neverthrow";
import { getTextFlag, type CommandFailure, type CommandInput } from "./Command.ts";
import { usageFailure } from "./failures.ts";

const NUMBER_PATTERN = /^\d{1,15}(?:\.\d{1,9})?$/;

export const MILLI_PER_CORE = 1000;
export const BYTES_PER_MIB = 1024 * 1024;

/**
 * Reads a numeric flag.
 * @param input - Arguments and flags.
 * @param name - Name of the flag in camel case.
 * @param fallback - Value where the flag is absent; without it the flag is required.
 */
export function readNumberFlag(
  input: CommandInput,
  name: string,
  fallback?: number,
): Result<number, CommandFailure> {
  const text = getTextFlag(input, name);
  if (text === undefined && fallback !== undefined) {
    return ok(fallback);
  }
  const flag = `--${name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`)}`;
  if (text === undefined) {
    return err(usageFailure(`${flag} is missing`));
  }
  return NUMBER_PATTERN.test(text)
    ? ok(Number(text))
    : err(usageFailure(`${flag} = ${text}: expected a number without sign`));
}
