/**
 * The command `entry`.
 */
import type { Result } from "neverthrow";
import type { SettingError } from "../protocol/errors/errors.ts";
import { readEntrySettings, type EntrySettings } from "../protocol/settings/EntrySettings.ts";
import { runEntry } from "../transport/entry/EntryProcess.ts";
import { RoleCommand } from "./RoleCommand.ts";

/** Runs an entry. */
export class EntryCommand extends RoleCommand<EntrySettings> {
  override readonly words = "entry";
  override readonly summary = "Run an entry: routes callers' requests and owns batch partitions";

  protected override readSettings(
    file: string,
    text: string,
  ): Result<EntrySettings, readonly SettingError[]> {
    return readEntrySettings(file, text);
  }

  protected override runRole(settings: EntrySettings): Promise<void> {
    return runEntry(settings);
  }
}
