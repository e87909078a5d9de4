/**
 * Reads the files named in the arguments of commands.
 */
import { readFile } from "node:fs/promises";
import { ResultAsync } from "neverthrow";
import type { CommandFailure } from "./Command.ts";
import { unreadableFailure } from "./failures.ts";

const STANDARD_INPUT = "/dev/stdin";

/**
 * Reads the text of a file.
 * @param file - Name of the file; "-" is standard input.
 */
export function readText(file: string): ResultAsync<string, CommandFailure> {
  const path = file === "-" ? STANDARD_INPUT : file;
  return ResultAsync.fromPromise(readFile(path, "utf8"), (err) =>
    unreadableFailure(file, err instanceof Error ? err.message : String(err)),
  );
}
