/**
 * The process of the role `agent`.
 */
import type { AgentSettings } from "../../protocol/settings/AgentSettings.ts";

/**
 * Runs an agent until it is told to stop.
 * @param settings - Settings of the agent.
 */
export async function runAgent(settings: AgentSettings): Promise<void> {
  await Promise.reject(new Error(`agent ${settings.agent.name} is not built yet`));
}
