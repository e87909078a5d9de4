/**
 * Reads and formats configuration documents in files.
 */
import { Result, type ResultAsync } from "neverthrow";
import type { ConfigDocument } from "../protocol/config/ConfigDocument.ts";
import { formatConfigFile, parseConfigFile } from "../protocol/config/ConfigFile.ts";
import { SettingError } from "../protocol/errors/errors.ts";
import type { CommandFailure } from "./Command.ts";
import { fileFailure, roleFailure } from "./failures.ts";
import { readText } from "./files.ts";

const REVISION_PATTERN = /^[#;] revision (\d+)\r?\n/;

/** A document with its revision, where the file states one. */
export interface DocumentFile {
  readonly document: ConfigDocument;
  readonly revision: number | undefined;
}

/**
 * Parses the text of a file that holds a document.
 * @param file - Name of the file.
 * @param text - Its text.
 */
export function parseDocumentFile(
  file: string,
  text: string,
): Result<DocumentFile, CommandFailure> {
  const parse = Result.fromThrowable(parseConfigFile, (cause) =>
    cause instanceof SettingError ? fileFailure([cause]) : roleFailure(cause),
  );
  const revision = REVISION_PATTERN.exec(text)?.[1];
  return parse(text, file).map((document) => ({
    document,
    revision: revision === undefined ? undefined : Number(revision),
  }));
}

/**
 * Reads a document from a file.
 * @param file - Name of the file; "-" is standard input.
 */
export function readDocumentFile(file: string): ResultAsync<DocumentFile, CommandFailure> {
  return readText(file).andThen((text) => parseDocumentFile(file, text));
}

/**
 * Formats a document and its revision as the lines of a file.
 * @param document - The document.
 * @param revision - Its revision.
 */
export function formatDocumentFile(document: ConfigDocument, revision: number): readonly string[] {
  return [`# revision ${revision}`, ...formatConfigFile(document).trimEnd().split("\n")];
}
