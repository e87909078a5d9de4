/**
 * A partition in virtual time for the tests of its owners: a store, two agents and the calls that
 * the tests share.
 */
import type { BatchSettings } from "../../../src/coordination/batch/BatchSettings.ts";
import { DEFAULT_BATCH_SETTINGS } from "../../../src/coordination/batch/BatchSettings.ts";
import { PartitionOwner } from "../../../src/coordination/batch/PartitionOwner.ts";
import { jobSpecSchema, type JobSpec } from "../../../src/protocol/jobs/JobSpec.ts";
import { getJobId } from "../../../src/state/batch/BatchIds.ts";
import { FleetView } from "../../../src/state/FleetView.ts";
import { MemoryStore } from "../../../standins/store/MemoryStore.ts";
import { FakeAgents } from "../../support/FakeAgents.ts";
import { ManualClock } from "../../support/ManualClock.ts";
import { MemoryLog } from "../../support/MemoryLog.ts";

export const CFG: BatchSettings = { ...DEFAULT_BATCH_SETTINGS, partitions: 1 };
export const TAKEOVER_MS = CFG.takeoverHorizonMs + CFG.taskLeaseMs;

/**
 * Creates the specification of a job.
 * @param key - Key of the submission.
 * @param overrides - Fields that differ from the defaults.
 */
export function createSpec(key: string, overrides: Partial<JobSpec> = {}): JobSpec {
  const resources = { processorsMilli: 1_000, memoryBytes: 1, accelerators: 0 };
  return jobSpecSchema.parse({
    key,
    tenant: "t",
    kind: "k",
    resources,
    command: "c",
    ...overrides,
  });
}

/** Creates a partition with two agents, and what takes it over, submits jobs and starts tasks. */
export function createPartition() {
  const clock = new ManualClock();
  const store = new MemoryStore(clock);
  const agents = new FakeAgents(clock, [1, 1]);
  const fleet = new FleetView();
  const log = new MemoryLog();
  let writers = 0;
  const sendHeartbeats = (): void => {
    agents.names.forEach((name) => fleet.apply(agents.getVm(name)));
  };
  const takeOver = async (isClaimed = true, from: MemoryStore = store): Promise<PartitionOwner> => {
    writers += 1;
    const writer = `w${writers}`;
    const takeover = PartitionOwner.takeOver({
      cfg: CFG,
      partition: 0,
      entry: writer,
      writer,
      store: from,
      clock,
      log,
      fleet,
      gateway: agents,
      onOutcome: () => undefined,
      onSuperseded: () => undefined,
    });
    await clock.advance(1_000);
    const owner = (await takeover)._unsafeUnwrap();
    if (isClaimed) {
      owner.recordClaim();
    }
    return owner;
  };
  const submit = async (owner: PartitionOwner, spec: JobSpec): Promise<string> => {
    const id = getJobId(spec.tenant, spec.key, CFG.partitions);
    const submitted = owner.submissions.submit(id, spec);
    await clock.advance(CFG.commitIntervalMs);
    await submitted;
    return id;
  };
  const start = async (owner: PartitionOwner, task: string, agent: string): Promise<void> => {
    sendHeartbeats();
    void owner.runner.start(task, agent);
    await clock.advance(CFG.commitIntervalMs);
  };
  return { clock, store, agents, fleet, sendHeartbeats, takeOver, submit, start };
}
