/**
 * Settings of the role `entry` where it schedules pools of workers.
 */
import type { Result } from "neverthrow";
import type { SettingError } from "../errors/errors.ts";
import { LOG_LEVELS } from "./LogLevel.ts";
import {
  address,
  choice,
  megabitsPerSecond,
  milliseconds,
  name,
  ratio,
} from "./settingFactories.ts";
import { SettingsReader } from "./SettingsReader.ts";
import type { SettingsValues } from "./SettingsSchema.ts";

/** Schema of the settings file of an entry that schedules pools. */
export const POOL_ENTRY_SCHEMA = {
  entry: {
    name: name("Name of this entry; unique in the fleet."),
    zone: name("Availability zone of this entry."),
    submissions: address("Address that submitters send jobs to."),
    readiness: address("Address of the readiness probe."),
    link_mbps: megabitsPerSecond(
      1_000,
      "Bandwidth of this VM's link; entries with wide links schedule pools first.",
    ),
    processor_share: ratio(
      1,
      "Share of a core that this process may use; entries with half a core or more schedule pools first.",
    ),
    processor_speed: ratio(1, "Speed of the core, as a multiple of that of an ordinary one."),
    drain_ms: milliseconds(2_300, "Time on shutdown in which requests are still accepted."),
    drain_timeout_ms: milliseconds(
      5_000,
      "Maximum time on shutdown to wait for requests in flight.",
    ),
  },
  store: {
    address: address("Address of the platform's store."),
    timeout_ms: milliseconds(1_000, "Longest time without a byte of a response of the store."),
  },
  pool: {
    max_worker_lease_ms: milliseconds(6_000, "Maximum duration of a lease that workers accept."),
    commit_interval_ms: milliseconds(20, "Minimum time between two writes of a pool's progress."),
    retention_ms: milliseconds(600_000, "Time for which a job is retained after its end."),
    scheduler_lease_ms: milliseconds(
      2_000,
      "Duration of the lease of the entry that schedules a pool.",
    ),
  },
  log: {
    level: choice(LOG_LEVELS, "info", "Lowest level that is logged."),
  },
} as const;

/** Settings of an entry that schedules pools. */
export type PoolEntrySettings = SettingsValues<typeof POOL_ENTRY_SCHEMA>;

/**
 * Reads the settings file of an entry that schedules pools.
 * @param file - Name of the file, for errors.
 * @param text - Text of the file.
 */
export function readPoolEntrySettings(
  file: string,
  text: string,
): Result<PoolEntrySettings, readonly SettingError[]> {
  return new SettingsReader(POOL_ENTRY_SCHEMA).read(file, text);
}
