/**
 * Sections of the documentation that are generated from the sources: settings, metrics, exit codes,
 * refusal codes and commands.
 */
import { formatHelp } from "../../src/commands/CommandLine.ts";
import { COMMANDS } from "../../src/commands/commands.ts";
import { EXIT_CODE_MEANINGS, ExitCode } from "../../src/commands/ExitCode.ts";
import { getHttpStatus, type RefusalCode } from "../../src/protocol/Refusal.ts";
import { AGENT_SCHEMA } from "../../src/protocol/settings/AgentSettings.ts";
import { ENTRY_SCHEMA } from "../../src/protocol/settings/EntrySettings.ts";
import type { SettingsSchema } from "../../src/protocol/settings/SettingsSchema.ts";
import { METRICS } from "../../src/state/metrics/metricDefinitions.ts";
import { REFUSAL_MEANINGS } from "./refusalMeanings.ts";

/** Renders one section as Markdown. */
export type SectionRenderer = () => string;

/** Renderers by the section name in the markers of a page. */
export const SECTIONS: Readonly<Record<string, SectionRenderer>> = {
  "entry-settings": () => renderSettings(ENTRY_SCHEMA),
  "agent-settings": () => renderSettings(AGENT_SCHEMA),
  metrics: renderMetrics,
  "exit-codes": renderExitCodes,
  "refusal-codes": renderRefusalCodes,
  commands: renderCommands,
};

function renderTable(headings: readonly string[], rows: readonly (readonly string[])[]): string {
  const lines = [headings, headings.map(() => "---"), ...rows];
  return lines.map((cells) => `| ${cells.join(" | ")} |`).join("\n");
}

function renderSettings(schema: SettingsSchema): string {
  const rows = Object.entries(schema).flatMap(([section, settings]) =>
    Object.entries(settings).map(([key, setting]) => [
      `\`[${section}] ${key}\``,
      renderDefault(setting.info.defaultText),
      setting.getAllowed(),
      setting.info.doc,
    ]),
  );
  return renderTable(["Setting", "Default", "Allowed", "Meaning"], rows);
}

function renderDefault(text: string | undefined): string {
  if (text === undefined) {
    return "required";
  }
  return text === "" ? "nothing" : `\`${text}\``;
}

function renderMetrics(): string {
  const rows = Object.entries(METRICS).map(([name, { kind, labels, help }]) => [
    `\`${name}\``,
    kind,
    labels.map((label) => `\`${label}\``).join(", "),
    help,
  ]);
  return renderTable(["Metric", "Kind", "Labels", "Meaning"], rows);
}

function renderExitCodes(): string {
  const rows = Object.entries(EXIT_CODE_MEANINGS).map(([name, meaning]) => [
    String(ExitCode[name as keyof typeof ExitCode]),
    meaning,
  ]);
  return renderTable(["Exit code", "Meaning"], rows);
}

function renderRefusalCodes(): string {
  const rows = Object.entries(REFUSAL_MEANINGS).map(([code, meaning]) => [
    `\`${code}\``,
    String(getHttpStatus(code as RefusalCode)),
    meaning,
  ]);
  return renderTable(["Code", "HTTP status", "Meaning"], rows);
}

function renderCommands(): string {
  return COMMANDS.map((command) =>
    [`### ${command.words}`, "", "```text", formatHelp(command), "```"].join("\n"),
  ).join("\n\n");
}
