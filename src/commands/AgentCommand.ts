/**
 * The command `agent`.
 */
import type { Result } from "neverthrow";
import type { SettingError } from "../protocol/errors/errors.ts";
import { readAgentSettings, type AgentSettings } from "../protocol/settings/AgentSettings.ts";
import { runAgent } from "../transport/agent/AgentProcess.ts";
import { RoleCommand } from "./RoleCommand.ts";

/** Runs an agent. */
export class AgentCommand extends RoleCommand<AgentSettings> {
  override readonly words = "agent";
  override readonly summary = "Run the agent beside the backend servers and worker of one VM";

  protected override readSettings(
    file: string,
    text: string,
  ): Result<AgentSettings, readonly SettingError[]> {
    return readAgentSettings(file, text);
  }

  protected override runRole(settings: AgentSettings): Promise<void> {
    return runAgent(settings);
  }
}
