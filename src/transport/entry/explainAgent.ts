/**
 * Asks an agent how batch work yields on its VM, for operators.
 */
import type { AgentConnections } from "./requests/AgentConnections.ts";

const TIMEOUT_MS = 1_000;

/**
 * Asks an agent; the answer says so where the agent gives none.
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
