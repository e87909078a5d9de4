/**
 * Settings of the role `agent` where its worker belongs to a pool.
 */
import type { Result } from "neverthrow";
import type { SettingError } from "../errors/errors.ts";
import { LOG_LEVELS } from "./LogLevel.ts";
import { address, choice, milliseconds, name } from "./settingFactories.ts";
import { SettingsReader } from "./SettingsReader.ts";
import type { SettingsValues } from "./SettingsSchema.ts";

/** Schema of the settings file of an agent of a pool worker. */
export const POOL_AGENT_SCHEMA = {
  agent: {
    name: name("Name of this agent and its VM; unique in the fleet."),
    zone: name("Availability zone of this VM."),
    pool: name("Pool of the worker of this VM."),
    control: address("Address that schedulers of pools send queries and orders to."),
    announcements: address("Address at which the worker of this VM announces itself."),
  },
  worker: {
    address: address("Address of the worker of this VM."),
    timeout_ms: milliseconds(400, "Longest time without a byte of a response of the worker."),
  },
  store: {
    address: address("Address of the platform's store."),
    timeout_ms: milliseconds(1_000, "Longest time without a byte of a response of the store."),
  },
  log: {
    level: choice(LOG_LEVELS, "info", "Lowest level that is logged."),
  },
} as const;

/** Settings of an agent whose worker belongs to a pool. */
export type PoolAgentSettings = SettingsValues<typeof POOL_AGENT_SCHEMA>;

/**
 * Reads the settings file of an agent whose worker belongs to a pool.
 * @param file - Name of the file, for errors.
 * @param text - Text of the file.
 */
export function readPoolAgentSettings(
  file: string,
  text: string,
): Result<PoolAgentSettings, readonly SettingError[]> {
  return new SettingsReader(POOL_AGENT_SCHEMA).read(file, text);
}
