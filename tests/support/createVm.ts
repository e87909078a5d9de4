/**
 * Creates VM records for tests.
 */
import type { VmRecord } from "../../src/state/FleetView.ts";

/**
 * Creates the record of a VM with one backend server.
 * @param agent - Name of its agent, also used as the id of its backend server.
 * @param overrides - Fields that differ from the defaults.
 */
export function createVm(agent: string, overrides: Partial<VmRecord> = {}): VmRecord {
  return {
    agent,
    incarnation: "one",
    sequence: 1,
    region: "region-1",
    zone: "zone-1",
    rack: "rack-1",
    requestAddress: "127.0.0.1:1",
    controlAddress: "127.0.0.1:2",
    capacity: { processorsMilli: 32_000, memoryBytes: 125e9, accelerators: 0 },
    committed: { processorsMilli: 0, memoryBytes: 0, accelerators: 0 },
    used: { processorsMilli: 0, memoryBytes: 0, accelerators: 0 },
    servers: [
      {
        service: "rota-desk",
        id: agent,
        slots: 8,
        slotsInUse: 0,
        queued: 0,
        draining: false,
        p50Us: 0,
        p99Us: 0,
        requests: 0,
        failures: 0,
      },
    ],
    draining: false,
    configRevision: 1,
    tasks: 0,
    heatLevel: undefined,
    reportedAt: 0,
    ...overrides,
  };
}
