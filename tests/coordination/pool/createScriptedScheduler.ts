/**
 * Creates a scheduler in virtual time with one agent, whose reports the test sets.
 */
import { ConfirmationGuard } from "../../../src/coordination/pool/ConfirmationGuard.ts";
import { PoolScheduler } from "../../../src/coordination/pool/PoolScheduler.ts";
import type { StepDefinition } from "../../../src/protocol/pool/JobDefinition.ts";
import type { CatalogJob } from "../../../src/state/pool/JobCatalog.ts";
import { formatJobKey, getSchedulerKey } from "../../../src/state/pool/PoolKeys.ts";
import { parseProgress } from "../../../src/state/pool/progressValue.ts";
import type { ProgressRecord } from "../../../src/state/pool/records.ts";
import { MemoryStore } from "../../../standins/store/MemoryStore.ts";
import { ManualClock } from "../../support/ManualClock.ts";
import { MemoryLog } from "../../support/MemoryLog.ts";
import { createJobRecord, createStep, POOL } from "../../support/poolFixtures.ts";
import { TIMINGS } from "./simulatedPool.ts";
import { ScriptedChannel } from "./ScriptedChannel.ts";

/** Agent of the scheduler. */
export const AGENT = "agent-a";
/** Job that `addJob` adds. */
export const JOB = "0000000000000001";
const PROGRESS_KEY = formatJobKey({ kind: "progress", pool: POOL, job: JOB });
/** Time in which the scheduler has handled a new report, in milliseconds; no lease ends in it. */
export const HANDLED_MS = 100;

/** A scheduler with its agent and store. */
export interface ScriptedScheduler {
  readonly clock: ManualClock;
  readonly log: MemoryLog;
  readonly store: MemoryStore;
  readonly channel: ScriptedChannel;
  readonly scheduler: PoolScheduler;
  /** Gets the reasons for which runs were found lost. */
  readonly getLostReasons: () => readonly unknown[];
}

/**
 * Starts a scheduler with one agent.
 * @param clock - Clock of the test.
 * @param store - Store, that of a former scheduler for a takeover.
 * @param jobs - Jobs that the former scheduler left.
 * @param channel - Channel to the agent.
 */
export async function createScriptedScheduler(
  clock = new ManualClock(),
  store = new MemoryStore(clock),
  jobs: readonly CatalogJob[] = [],
  channel = new ScriptedChannel(clock),
): Promise<ScriptedScheduler> {
  const log = new MemoryLog();
  const key = getSchedulerKey(POOL);
  const former = (await store.read(key))._unsafeUnwrap();
  const written = await store.write({ key, value: "{}", expected: former?.revision ?? 0 });
  const elected = written._unsafeUnwrap();
  const ignore = (): void => undefined;
  const getTimeOfDay = (): number => clock.now();
  const scheduler = new PoolScheduler(
    {
      ...{ pool: POOL, store, clock, log, channel, getTimeOfDay, timings: TIMINGS, priors: [] },
      leaseEnds: { revision: 0, endsAt: new Map() },
      epoch: elected.kind === "written" ? elected.revision : 0,
      confirmationGuard: new ConfirmationGuard(clock, getTimeOfDay),
      getIntakeBehindSince: () => undefined,
      getConfirmedAt: () => clock.now(),
      ...{ onRecorded: ignore, onUnable: ignore, onJobsOutdated: ignore, onSuperseded: ignore },
    },
    jobs,
  );
  jobs.forEach((job) => {
    scheduler.addJob(job);
  });
  scheduler.start();
  scheduler.setAgent(AGENT, { address: AGENT, zone: "zone-a", pool: POOL, process: "a" });
  await clock.advance(HANDLED_MS);
  return {
    clock,
    log,
    store,
    channel,
    scheduler,
    getLostReasons: () =>
      log.lines
        .filter(({ sentence }) => sentence.startsWith("Run is lost"))
        .map(({ fields }) => fields.reason),
  };
}

/**
 * Adds a job of one step and waits until its start has been ordered.
 * @param fixture - The scheduler.
 * @param step - Properties of the step that differ from the defaults.
 */
export async function addJob(
  { clock, scheduler }: ScriptedScheduler,
  step: Partial<StepDefinition> = {},
): Promise<void> {
  scheduler.addJob(createCatalogJob(step, undefined, 0));
  await clock.advance(HANDLED_MS);
}

/**
 * Replaces the scheduler of the job that `addJob` added by another one.
 * @param former - The scheduler.
 * @param step - Properties of the job's step that differ from the defaults.
 */
export async function takeOver(
  former: ScriptedScheduler,
  step: Partial<StepDefinition> = {},
): Promise<ScriptedScheduler> {
  const { clock, store, channel, scheduler } = former;
  scheduler.stop();
  const entry = (await store.read(PROGRESS_KEY))._unsafeUnwrap();
  const progress = parseProgress(entry?.value ?? "")._unsafeUnwrap();
  const job = createCatalogJob(step, progress, entry?.revision ?? 0);
  return createScriptedScheduler(clock, store, [job], channel);
}

function createCatalogJob(
  step: Partial<StepDefinition>,
  progress: ProgressRecord | undefined,
  progressRevision: number,
): CatalogJob {
  return {
    ...{
      id: JOB,
      pool: POOL,
      acceptedRevision: 1,
      isCancelled: false,
      cancelledQueues: new Set<string>(),
    },
    record: createJobRecord([createStep(step)]),
    phase: progress?.phase ?? "queued",
    progress,
    progressRevision,
    isProgressUnreadable: false,
  };
}
