/**
 * Asks an agent for an explanation, shown to operators, of how batch work yields on its VM.
 */
import type { AgentConnections } from "./requests/AgentConnections.ts";

const TIMEOUT_MS = 1_000;

/**
 * Gets the explanation of an agent; the result has the reason if the agent does not respond.
 * @param connections - Connections to agents.
 * @param controlAddress - Control address of the agent.
 */
export async function explainAgent(
  connections: AgentConnections,
  controlAddress: string,
): Promise<unknown> {
  try {
    const reply = await connections
      .getControlClient(controlAddress)
      .explainVm({}, { timeoutMs: TIMEOUT_MS });
    return JSON.parse(reply.explanation) as unknown;
  } catch (err) {
    return { unavailable: err instanceof Error ? err.message : String(err) };
  }
}
