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
    listen: address("Address that callers connect to."),
    control: address("Address that agents and other entries connect to."),
    api: address("Address that operators connect to; also serves metrics and health."),
    drain_notice_ms: millisecondsOrZero(
      2000,
      "Time on shutdown in which the entry reports not ready but still accepts requests.",
    ),
    drain_timeout_ms: milliseconds(
      30_000,
      "Maximum time on shutdown to wait for requests in flight.",
    ),
  },
  store: {
    address: address("Address of the platform's key-value store."),
    timeout_ms: milliseconds(2000, "Longest time without a byte of a response of the store."),
  },
  log: {
    level: choice(LOG_LEVELS, "info", "Lowest level that is logged."),
  },
  requests: {
    default_timeout_ms: milliseconds(10_000, "Timeout of a request that sets none."),
    max_timeout_ms: milliseconds(600_000, "Maximum timeout that a caller may set."),
    max_body_bytes: bytes(67_108_864, "Maximum size of a request body."),
    max_header_bytes: bytes(16_384, "Maximum size of the headers of a request."),
    max_in_flight: count("requests", 10_000, "Maximum number of requests in flight."),
    retry_budget_percent: percent(
      10,
      "Maximum number of retries, as a percentage of first attempts.",
    ),
  },
  batch: {
    partitions: count(
      "partitions",
      8,
      "Partitions of the jobs; must be the same at all entries and not change while there are jobs.",
      1024,
    ),
    owner_lease_ms: milliseconds(
      5000,
      "Duration of the store lease with which an entry owns partitions.",
    ),
    task_lease_ms: milliseconds(15_000, "Duration of the lease of a running task."),
    commit_interval_ms: milliseconds(
      50,
      "Time over which log records are batched into one commit.",
    ),
    takeover_horizon_ms: milliseconds(
      20_000,
      "Time after its last successful call of the store in which an owner may renew tasks.",
    ),
  },
  fleet: {
    heartbeat_ms: milliseconds(500, "Time between heartbeats to other entries."),
    expiry_ms: milliseconds(3000, "Time without a heartbeat after which a VM counts as gone."),
  },
} as const;

/** Settings of an entry. */
export type EntrySettings = SettingsValues<typeof ENTRY_SCHEMA>;

/**
 * Reads the settings file of an entry.
 * @param file - Name of the file, for errors.
 * @param text - Text of the file.
 */
export function readEntrySettings(
  file: string,
  text: string,
): Result<EntrySettings, readonly SettingError[]> {
  return new SettingsReader(ENTRY_SCHEMA).read(file, text);
}
