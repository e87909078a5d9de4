/**
 * Settings of the role `agent`.
 */
import type { Result } from "neverthrow";
import type { SettingError } from "../errors/errors.ts";
import { LOG_LEVELS } from "./LogLevel.ts";
import {
  address,
  addresses,
  bytes,
  choice,
  count,
  milliseconds,
  name,
  optionalAddress,
} from "./settingFactories.ts";
import { SettingsReader } from "./SettingsReader.ts";
import type { SettingsValues } from "./SettingsSchema.ts";

/** Schema of an agent's settings file. */
export const AGENT_SCHEMA = {
  agent: {
    name: name("Name of this agent and its VM; unique in the fleet."),
    region: name("Region of this VM."),
    zone: name("Availability zone of this VM."),
    rack: name("Rack of this VM."),
    listen: address("Address that entries send requests to."),
    control: address("Address that entries send control messages to."),
    advertise: optionalAddress("Address at which entries reach listen, if it differs."),
    advertise_control: optionalAddress("Address at which entries reach control, if it differs."),
    local: address("Loopback address at which backend servers of this VM announce themselves."),
    admin: address("Address that serves metrics and health."),
    entries: addresses("Control addresses of entries, those in the same zone first."),
    drain_timeout_ms: milliseconds(
      30_000,
      "Maximum time on shutdown to wait for requests in flight.",
    ),
  },
  worker: {
    address: address("Address of the worker of this VM."),
    poll_ms: milliseconds(500, "Time between reads of the worker's report."),
  },
  requests: {
    max_queue: count(
      "requests",
      64,
      "Maximum number of requests that wait for a slot, over all classes.",
    ),
    max_body_bytes: bytes(67_108_864, "Maximum size of a request body."),
  },
  fleet: {
    heartbeat_ms: milliseconds(500, "Time between heartbeats to entries."),
    announcement_expiry_ms: milliseconds(
      3000,
      "Time without an announcement after which a backend server counts as gone.",
    ),
  },
  log: {
    level: choice(LOG_LEVELS, "info", "Lowest level that is logged."),
  },
} as const;

/** Settings of an agent. */
export type AgentSettings = SettingsValues<typeof AGENT_SCHEMA>;

/**
 * Reads the settings file of an agent.
 * @param file - Name of the file, for errors.
 * @param text - Text of the file.
 */
export function readAgentSettings(
  file: string,
  text: string,
): Result<AgentSettings, readonly SettingError[]> {
  return new SettingsReader(AGENT_SCHEMA).read(file, text);
}
