/**
 * The temporary folder of a cluster: settings, logs and journals.
 */
import { existsSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { stringify } from "ini";
import type { SettingsOverrides } from "./ClusterOptions.ts";

/** Temporary folder. */
export class ClusterFiles {
  /** Path of the folder. */
  readonly folder = mkdtempSync(join(tmpdir(), "fireflylb-"));

  /**
   * Writes a settings file and gives its path.
   * @param name - Name of the process.
   * @param settings - Settings by section and key.
   * @param overrides - Settings that replace or add to them.
   */
  writeSettings(name: string, settings: SettingsOverrides, overrides: SettingsOverrides): string {
    const sections = [...new Set([...Object.keys(settings), ...Object.keys(overrides)])];
    const merged = Object.fromEntries(
      sections.map((section) => [section, { ...settings[section], ...overrides[section] }]),
    );
    const path = join(this.folder, `${name}.ini`);
    writeFileSync(path, stringify(merged));
    return path;
  }

  /**
   * Gives the path of a log.
   * @param name - Name of the process.
   */
  getLogPath(name: string): string {
    return join(this.folder, `${name}.log`);
  }

  /**
   * Gives the path of a journal.
   * @param name - Name of the process.
   */
  getJournalPath(name: string): string {
    return join(this.folder, `${name}.journal`);
  }

  /**
   * Reads a journal; a process that wrote none has an empty one. A last line that is still being
   * written is left out.
   * @param name - Name of the process.
   */
  readJournal(name: string): readonly unknown[] {
    const path = this.getJournalPath(name);
    if (!existsSync(path)) {
      return [];
    }
    const text = readFileSync(path, "utf8");
    // A line that is being written has no end yet.
    return text
      .slice(0, text.lastIndexOf("\n") + 1)
      .split("\n")
      .slice(0, -1)
      .map((line) => JSON.parse(line) as unknown);
  }

  /** Deletes the folder. */
  remove(): void {
    rmSync(this.folder, { recursive: true, force: true });
  }
}
