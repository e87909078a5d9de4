/**
 * The process of the role `entry`.
 */
import type { EntrySettings } from "../../protocol/settings/EntrySettings.ts";

/**
 * Runs an entry until it is told to stop.
 * @param settings - Settings of the entry.
 */
export async function runEntry(settings: EntrySettings): Promise<void> {
  await Promise.reject(new Error(`entry ${settings.entry.name} is not built yet`));
}
