/**
 * Settings of the role `entry` where it schedules pools of workers.
 */
import type { Result } from "neverthrow";
import type { SettingError } from "../errors/errors.ts";
import { LOG_LEVELS } from "./LogLevel.ts";
import { address, choice, milliseconds, name } from "./settingFactories.ts";
import { SettingsReader } from "./SettingsReader.ts";
import type { SettingsValues } from "./SettingsSchema.ts";

/** Schema of the settings file. */
export const POOL_ENTRY_SCHEMA = {
  entry: {
    name: name("Name of this entry; unique in the fleet."),
    zone: name("Availability zone of this entry."),
    submissions: address("Where submitters hand jobs in."),
    readiness: address("Where the platform asks whether this entry is ready."),
    drain_ms: milliseconds(2_300, "Time on shutdown in which requests are still taken."),
    drain_timeout_ms: milliseconds(5_000, "Longest wait on shutdown for requests in flight."),
  },
  store: {
    address: address("Address of the platform's store."),
    timeout_ms: milliseconds(1_000, "Time after which a call of the store is given up."),
  },
  pool: {
    max_worker_lease_ms: milliseconds(6_000, "Longest lease that workers accept."),
    commit_interval_ms: milliseconds(20, "Least time between two writes of a pool's progress."),
    retention_ms: milliseconds(600_000, "Time for which a job is kept after its end."),
    scheduler_lease_ms: milliseconds(2_000, "Lease of the entry that schedules a pool."),
  },
  log: {
    level: choice(LOG_LEVELS, "info", "Least severe level that is written."),
  },
} as const;

/** Settings of an entry that schedules pools. */
export type PoolEntrySettings = SettingsValues<typeof POOL_ENTRY_SCHEMA>;

/**
 * Reads the settings file.
 * @param file - Name of the file, for errors.
 * @param text - Its text.
 */
export function readPoolEntrySettings(
  file: string,
  text: string,
): Result<PoolEntrySettings, readonly SettingError[]> {
  return new SettingsReader(POOL_ENTRY_SCHEMA).read(file, text);
}
