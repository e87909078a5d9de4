/**
 * The sections of the pages that are written from the sources: settings, metrics, exit codes,
 * refusal codes and commands.
 */
import { formatHelp } from "../../src/commands/CommandLine.ts";
import { COMMANDS } from "../../src/commands/commands.ts";
import { EXIT_CODE_MEANINGS, ExitCode } from "../../src/commands/ExitCode.ts";
import { getStatus, type RefusalCode } from "../../src/protocol/Refusal.ts";
import { AGENT_SCHEMA } from "../../src/protocol/settings/AgentSettings.ts";
import { ENTRY_SCHEMA } from "../../src/protocol/settings/EntrySettings.ts";
import type { SettingsSchema } from "../../src/protocol/settings/SettingsSchema.ts";
import { METRICS } from "../../src/state/metrics/metricDefinitions.ts";
import { REFUSAL_MEANINGS } from "./refusalMeanings.ts";

/** Writes one section as Markdown. */
export type SectionWriter = () => string;

/** Writers by the name that stands in a page's markers. */
export const SECTIONS: Readonly<Record<string, SectionWriter>> = {
  "entry-settings": () => writeSettings(ENTRY_SCHEMA),
  "agent-settings": () => writeSettings(AGENT_SCHEMA),
  metrics: writeMetrics,
  "exit-codes": writeExitCodes,
  "refusal-codes": writeRefusalCodes,
  commands: writeCommands,
};

function writeTable(heads: readonly string[], rows: readonly (readonly string[])[]): string {
  const lines = [heads, heads.map(() => "---"), ...rows];
  return lines.map((cells) => `| ${cells.join(" | ")} |`).join("\n");
}

function writeSettings(schema: SettingsSchema): string {
  const rows = Object.entries(schema).flatMap(([section, settings]) =>
    Object.entries(settings).map(([key, setting]) => [
      `\`[${section}] ${key}\``,
      writeDefault(setting.info.defaultText),
      setting.getAllowed(),
      setting.info.doc,
    ]),
  );
  return writeTable(["Setting", "Default", "Allowed", "Meaning"], rows);
}

function writeDefault(text: string | undefined): string {
  if (text === undefined) {
    return "required";
  }
  return text === "" ? "nothing" : `\`${text}\``;
}

function writeMetrics(): string {
  const rows = Object.entries(METRICS).map(([name, { kind, labels, help }]) => [
    `\`${name}\``,
    kind,
    labels.map((label) => `\`${label}\``).join(", "),
    help,
  ]);
  return writeTable(["Metric", "Kind", "Labels", "Meaning"], rows);
}

function writeExitCodes(): string {
  const rows = Object.entries(EXIT_CODE_MEANINGS).map(([name, meaning]) => [
    String(ExitCode[name as keyof typeof ExitCode]),
    meaning,
  ]);
  return writeTable(["Exit code", "Meaning"], rows);
}

function writeRefusalCodes(): string {
  const rows = Object.entries(REFUSAL_MEANINGS).map(([code, meaning]) => [
    `\`${code}\``,
    String(getStatus(code as RefusalCode)),
    meaning,
  ]);
  return writeTable(["Code", "HTTP status", "Meaning"], rows);
}

function writeCommands(): string {
  return COMMANDS.map((command) =>
    [`### ${command.words}`, "", "```text", formatHelp(command), "```"].join("\n"),
  ).join("\n\n");
}
