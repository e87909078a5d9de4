/**
 * Steps, jobs and worker reports for tests of pool scheduling.
 */
import type { ObserveCall, WorkerReport } from "../../src/coordination/pool/AgentChannel.ts";
import type { StepDefinition } from "../../src/protocol/pool/JobDefinition.ts";
import type { EndedRun, WorkerAnnouncement } from "../../src/protocol/platform/PoolWorker.ts";
import type { JobRecord } from "../../src/state/pool/records.ts";

/** Name of the pool of all fixtures. */
export const POOL = "pool-a";

/**
 * Returns the id of a job.
 * @param number - Number of the job, the same for the same id.
 */
export function createJobId(number: number): string {
  return number.toString(16).padStart(16, "0");
}

/**
 * Creates a step of one small task.
 * @param overrides - Properties to override.
 */
export function createStep(overrides: Partial<StepDefinition> = {}): StepDefinition {
  return {
    taskCount: 1,
    resources: { processorsMilli: 1_000, memoryBytes: 1_000, accelerators: 0 },
    estimateMs: 1_000,
    after: [],
    checkpoints: false,
    gang: false,
    sameRack: false,
    requiredLabel: undefined,
    dataRack: undefined,
    maxPerWorker: undefined,
    speculative: false,
    longRunning: false,
    image: "",
    latencyTargetMs: undefined,
    usesIdleProcessors: false,
    maxUnavailable: undefined,
    ...overrides,
  };
}

/**
 * Creates an accepted job.
 * @param steps - Its steps; one small step by default.
 * @param overrides - Properties to override.
 */
export function createJobRecord(
  steps: readonly StepDefinition[] = [createStep()],
  overrides: Partial<JobRecord> = {},
): JobRecord {
  return {
    queue: "queue-a",
    priority: 0,
    maxAttempts: 3,
    stretch: 2,
    latencyTargetMs: 500,
    acceptedAtMs: 0,
    payload: "payload",
    steps,
    schedule: undefined,
    ...overrides,
  };
}

/**
 * Creates the announcement of the first incarnation of the worker "i-1".
 * @param overrides - Properties to override.
 */
export function createAnnouncement(
  overrides: Partial<WorkerAnnouncement> = {},
): WorkerAnnouncement {
  return {
    ...{ id: "i-1", startedAtMs: 1, pool: POOL, zone: "zone-a", rack: "rack-1", sequence: 1 },
    ...{ draining: false, drainRemainingMs: undefined, labels: [] },
    capacity: { processorsMilli: 1_000, memoryBytes: 1_000, accelerators: 0 },
    ...overrides,
  };
}

/**
 * Creates the call of a scheduler that has received no report of the agent.
 * @param overrides - Properties to override.
 */
export function createObserveCall(overrides: Partial<ObserveCall> = {}): ObserveCall {
  return {
    ...{ epoch: 1, worker: "", leaseUntilMs: undefined, ackedEnd: 0, waitMs: 0 },
    ...{ knownVersion: 0, knownProcess: "" },
    ...overrides,
  };
}

/**
 * Creates the report of a worker.
 * @param overrides - Properties to override.
 */
export function createWorkerReport(overrides: Partial<WorkerReport> = {}): WorkerReport {
  return {
    worker: "i-1@100",
    isConfirmed: false,
    pool: POOL,
    zone: "zone-a",
    rack: "rack-1",
    draining: false,
    drainRemainingMs: 0,
    capacity: { processorsMilli: 16_000, memoryBytes: 64_000, accelerators: 0 },
    labels: ["kind-a", "rack-1"],
    clockMs: 1_000,
    readingAgeMs: 0,
    callNumber: 1,
    answers: true,
    running: [],
    ended: [],
    mayLackEnds: false,
    ...overrides,
  };
}

/**
 * Creates the end of the first run of the first task of job 1, as its worker lists it.
 * @param overrides - Properties to override.
 */
export function createEndedRun(overrides: Partial<EndedRun> = {}): EndedRun {
  const task = `${createJobId(1)}.0.0.0`;
  return { number: 1, task, run: 1, outcome: "done", checkpoint: "", ...overrides };
}
