/**
 * Temporary directory of a cluster, with its settings files, logs and journals.
 */
import { existsSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { stringify } from "ini";
import type { SettingsOverrides } from "./ClusterOptions.ts";

/** Temporary directory of a cluster. */
export class ClusterFiles {
  /** Path of the directory. */
  readonly folder = mkdtempSync(join(tmpdir(), "fireflylb-"));

  /**
   * Writes a settings file and returns its path.
   * @param name - Name of the process.
   * @param settings - Settings by section and key.
   * @param overrides - Settings that replace or extend them.
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
   * Gets the path of a log file.
   * @param name - Name of the process.
   */
  getLogPath(name: string): string {
    return join(this.folder, `${name}.log`);
  }

  /**
   * Gets the path of a journal file.
   * @param name - Name of the process.
   */
  getJournalPath(name: string): string {
    return join(this.folder, `${name}.journal`);
  }

  /**
   * Reads a journal; returns no entries if the process has not written a journal. An incomplete last
   * line, which is still being written, is omitted.
   * @param name - Name of the process.
   */
  readJournal(name: string): readonly unknown[] {
    const path = this.getJournalPath(name);
    if (!existsSync(path)) {
      return [];
    }
    const text = readFileSync(path, "utf8");
    // A line that is still being written has no line feed.
    return text
      .slice(0, text.lastIndexOf("\n") + 1)
      .split("\n")
      .slice(0, -1)
      .map((line) => JSON.parse(line) as unknown);
  }

  /** Deletes the directory. */
  remove(): void {
    rmSync(this.folder, { recursive: true, force: true });
  }
}
