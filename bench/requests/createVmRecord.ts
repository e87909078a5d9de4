/**
 * Heartbeat reports of the simulated agents.
 */
import { NO_RESOURCES } from "../../src/protocol/Resources.ts";
import type { VmRecord } from "../../src/state/FleetView.ts";
import type { SimulatedAgent } from "./RequestSimulationTypes.ts";

/**
 * Creates the VM record that a simulated agent reports.
 * @param agent - The agent.
 * @param now - Virtual time in milliseconds.
 */
export function createVmRecord(agent: SimulatedAgent, now: number): VmRecord {
  return {
    agent: `agent-${agent.index}`,
    incarnation: agent.incarnation,
    sequence: agent.sequence,
    region: "region",
    zone: agent.zone,
    rack: "rack",
    requestAddress: String(agent.index),
    controlAddress: "",
    capacity: NO_RESOURCES,
    committed: NO_RESOURCES,
    used: NO_RESOURCES,
    servers: agent.admission.getServers().map((server) => server.collectReport()),
    draining: agent.admission.draining,
    configRevision: 1,
    tasks: 0,
    heatLevel: undefined,
    reportedAt: now,
  };
}
