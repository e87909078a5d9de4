/**
 * Fixtures for tests of placement: VMs, tasks, quotas and inputs.
 */
import type {
  AllocatedTask,
  PendingTask,
  PlacementInput,
} from "../../src/coordination/batch/Placer.ts";
import { EMPTY_DOCUMENT, type Quota } from "../../src/protocol/config/ConfigDocument.ts";
import type { Resources } from "../../src/protocol/Resources.ts";
import type { ServerRecord, VmRecord } from "../../src/state/FleetView.ts";
import { createVm as createServingVm } from "./createVm.ts";

/** Creates resources with some cores and a thousand bytes of memory for each. */
export function cores(count: number, accelerators = 0): Resources {
  return { processorsMilli: count * 1_000, memoryBytes: count * 1_000, accelerators };
}

/** Creates a VM with eight cores. */
export function createVm(agent: string, overrides: Partial<VmRecord> = {}): VmRecord {
  return createServingVm(agent, {
    zone: "z",
    rack: "k",
    capacity: cores(8),
    servers: [],
    ...overrides,
  });
}

/** Creates a backend server of a service. */
export function createServer(service: string): ServerRecord {
  return {
    service,
    id: `${service}-1`,
    slots: 8,
    slotsInUse: 0,
    queued: 0,
    draining: false,
    p50Us: 0,
    p99Us: 0,
    requests: 0,
    failures: 0,
  };
}

/** Creates a waiting task of one core. */
export function createTask(task: string, overrides: Partial<PendingTask> = {}): PendingTask {
  return {
    task,
    attempt: 1,
    tenant: "t",
    kind: "k",
    urgent: false,
    resources: cores(1),
    readyAt: 0,
    ...overrides,
  };
}

/** Creates a task with one allocated core. */
export function createAllocatedTask(
  task: string,
  overrides: Partial<AllocatedTask> = {},
): AllocatedTask {
  return {
    task,
    tenant: "t",
    kind: "k",
    agent: "a",
    resources: cores(1),
    urgent: false,
    ...overrides,
  };
}

/** Creates a quota of some cores and a thousand bytes of memory for each. */
export function createQuota(count: number, weight = 1): Quota {
  return { ...cores(count), weight };
}

/** Creates the input of a scheduling cycle. */
export function createInput(
  overrides: Partial<PlacementInput> & { readonly quotas?: Readonly<Record<string, Quota>> },
): PlacementInput {
  const { quotas = {}, ...rest } = overrides;
  const cfg = { ...EMPTY_DOCUMENT, quotas };
  return { now: 0, pending: [], active: [], vms: [], cfg, limit: 100, ...rest };
}
