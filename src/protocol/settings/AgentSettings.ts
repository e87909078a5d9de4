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
    listen: address("Where entries send requests."),
    control: address("Where entries send control messages."),
    advertise: optionalAddress("Where entries reach listen, if not at the same address."),
    advertise_control: optionalAddress("Where entries reach control, if not at the same address."),
    local: address("Where backend servers of this VM announce themselves, over loopback."),
    admin: address("Where metrics and health are read."),
    entries: addresses("Control addresses of entries, those of the own zone first."),
    drain_timeout_ms: milliseconds(30_000, "Longest wait on shutdown for requests in flight."),
  },
  worker: {
    address: address("Address of the worker of this VM."),
    poll_ms: milliseconds(500, "Time between reads of the worker's report."),
  },
  requests: {
    max_queue: count("requests", 64, "Most requests that wait for a slot, over all classes."),
    max_body_bytes: bytes(67_108_864, "Largest body of a request."),
  },
  fleet: {
    heartbeat_ms: milliseconds(500, "Time between heartbeats to entries."),
    announcement_expiry_ms: milliseconds(
      3000,
      "Silence after which a backend server counts as gone.",
    ),
  },
  log: {
    level: choice(LOG_LEVELS, "info", "Least severe level that is written."),
  },
} as const;

/** Settings of an agent. */
export type AgentSettings = SettingsValues<typeof AGENT_SCHEMA>;

/**
 * Reads the settings file of an agent.
 * @param file - Name of the file, for errors.
 * @param text - Its text.
 */
export function readAgentSettings(
  file: string,
  text: string,
): Result<AgentSettings, readonly SettingError[]> {
  return new SettingsReader(AGENT_SCHEMA).read(file, text);
}
