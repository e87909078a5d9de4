/**
 * The command `config check`.
 */
import { parse } from "ini";
import { err, ok, type Result, type ResultAsync } from "neverthrow";
import { SettingError } from "../protocol/errors/errors.ts";
import { AGENT_SCHEMA, readAgentSettings } from "../protocol/settings/AgentSettings.ts";
import { ENTRY_SCHEMA, readEntrySettings } from "../protocol/settings/EntrySettings.ts";
import { Command, type CommandFailure, type CommandInput, type CommandOutput } from "./Command.ts";
import { parseDocumentFile } from "./configFiles.ts";
import { fileFailure } from "./failures.ts";
import { readText } from "./files.ts";

type FileKind = "entry settings" | "agent settings" | "configuration document";

/** Checks a settings file or a configuration document without starting a process. */
export class ConfigCheckCommand extends Command {
  override readonly words = "config check";
  override readonly usage = "FILE";
  override readonly summary = "Check a settings file or a configuration document";
  override readonly details = [
    "The sections determine the kind of file: [entry] for an entry's settings, [agent] for an",
    "agent's, and neither for a document of profiles, assignments and quotas.",
  ];
  override readonly argCount = [1, 1] as const;

  override run(input: CommandInput): ResultAsync<CommandOutput, CommandFailure> {
    const [file = ""] = input.args;
    return readText(file)
      .andThen((text) => check(file, text))
      .map((kind) => ({ json: { file, kind, valid: true }, lines: [`${file}: valid ${kind}`] }));
  }
}

function check(file: string, text: string): Result<FileKind, CommandFailure> {
  const sections = Object.keys(parse(text));
  if (sections.length === 0) {
    const allowed = "at least one section, such as [entry], [agent] or [profile NAME]";
    return err(fileFailure([new SettingError({ file, section: "", key: "", value: "", allowed })]));
  }
  if (hasSectionOnlyIn(sections, ENTRY_SCHEMA, AGENT_SCHEMA)) {
    return readEntrySettings(file, text)
      .map((): FileKind => "entry settings")
      .mapErr(fileFailure);
  }
  if (hasSectionOnlyIn(sections, AGENT_SCHEMA, ENTRY_SCHEMA)) {
    return readAgentSettings(file, text)
      .map((): FileKind => "agent settings")
      .mapErr(fileFailure);
  }
  return parseDocumentFile(file, text).andThen(() => ok<FileKind>("configuration document"));
}

/** Returns whether a file has a section that the first schema has and the other lacks. */
function hasSectionOnlyIn(sections: readonly string[], schema: object, other: object): boolean {
  return sections.some((name) => Object.hasOwn(schema, name) && !Object.hasOwn(other, name));
}
