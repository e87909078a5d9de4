/**
 * Settings of the role `entry`.
 */
import type { Result } from "neverthrow";
import type { SettingError } from "../errors/errors.ts";
import { LOG_LEVELS } from "./LogLevel.ts";
import {
  address,
  bytes,
  choice,
  count,
  milliseconds,
  millisecondsOrZero,
  name,
  percent,
} from "./settingFactories.ts";
import { SettingsReader } from "./SettingsReader.ts";
import type { SettingsValues } from "./SettingsSchema.ts";

/** Schema of an entry's settings file. */
export const ENTRY_SCHEMA = {
  entry: {
    name: name("Name of this entry; unique in the fleet."),
    region: name("Region of this VM."),
    zone: name("Availability zone of this VM."),
    listen: address("Where callers connect."),
    control: address("Where agents and other entries connect."),
    api: address("Where operators connect; metrics and health are here too."),
    drain_notice_ms: millisecondsOrZero(
      2000,
      "Time on shutdown during which the entry is not ready yet still takes requests.",
    ),
    drain_timeout_ms: milliseconds(30_000, "Longest wait on shutdown for requests in flight."),
  },
  store: {
    address: address("Address of the platform's key-value service."),
    timeout_ms: milliseconds(2000, "Longest wait for one answer of the store."),
  },
  log: {
    level: choice(LOG_LEVELS, "info", "Least severe level that is written."),
  },
  requests: {
    default_timeout_ms: milliseconds(10_000, "Timeout of a request that states none."),
    max_timeout_ms: milliseconds(600_000, "Longest timeout that a caller may state."),
    max_body_bytes: bytes(67_108_864, "Largest body of a request."),
    max_header_bytes: bytes(16_384, "Largest header of a request."),
    max_in_flight: count("requests", 10_000, "Most requests in flight at once."),
    retry_budget_percent: percent(10, "Most retries, as a share of first attempts."),
  },
  batch: {
    partitions: count(
      "partitions",
      8,
      "Partitions of the jobs; the same in all entries, and never changed while there are jobs.",
      1024,
    ),
    owner_lease_ms: milliseconds(5000, "Lease in the store by which an entry owns partitions."),
    task_lease_ms: milliseconds(15_000, "Lease of a running task."),
    commit_interval_ms: milliseconds(50, "Time over which log records are gathered into a commit."),
    takeover_horizon_ms: milliseconds(
      20_000,
      "How long an owner may renew tasks after its last confirmed call of the store.",
    ),
  },
  fleet: {
    heartbeat_ms: milliseconds(500, "Time between heartbeats to other entries."),
    expiry_ms: milliseconds(3000, "Silence after which a VM counts as gone."),
  },
} as const;

/** Settings of an entry. */
export type EntrySettings = SettingsValues<typeof ENTRY_SCHEMA>;

/**
 * Reads the settings file of an entry.
 * @param file - Name of the file, for errors.
 * @param text - Its text.
 */
export function readEntrySettings(
  file: string,
  text: string,
): Result<EntrySettings, readonly SettingError[]> {
  return new SettingsReader(ENTRY_SCHEMA).read(file, text);
}
