/**
 * Losses of the parts of a simulated pool.
 */
import type { SimulatedAgent } from "./simulatedPool.ts";

/**
 * Ends a worker for good; its agent goes on.
 * @param agent - Agent of the worker.
 */
export function loseWorker(agent: SimulatedAgent): void {
  agent.worker.crash();
  agent.worker.faults.isUnresponsive = true;
}

/**
 * Ends a worker, its agent and their VM for good.
 * @param agent - The agent.
 */
export function loseVm(agent: SimulatedAgent): void {
  loseWorker(agent);
  agent.workerAgent.stop();
  agent.isDisconnected = true;
}
