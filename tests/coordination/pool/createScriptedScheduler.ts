/**
 * Creates a scheduler in virtual time with one agent, whose reports the test sets.
 */
import { ConfirmationGuard } from "../../../src/coordination/pool/ConfirmationGuard.ts";
import { PoolScheduler } from "../../../src/coordination/pool/PoolScheduler.ts";
import type { StepDefinition } from "../../../src/protocol/pool/JobDefinition.ts";
import { getSchedulerKey } from "../../../src/state/pool/PoolKeys.ts";
import { MemoryStore } from "../../../standins/store/MemoryStore.ts";
import { ManualClock } from "../../support/ManualClock.ts";
import { MemoryLog } from "../../support/MemoryLog.ts";
import { createJobRecord, createStep, POOL } from "../../support/poolFixtures.ts";
import { TIMINGS } from "./PoolSimulation.ts";
import { ScriptedChannel } from "./ScriptedChannel.ts";

/** Agent of the scheduler. */
export const AGENT = "agent-a";
/** Job that `addJob` adds. */
export const JOB = "0000000000000001";
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

/** Starts a scheduler with one agent. */
export async function createScriptedScheduler(): Promise<ScriptedScheduler> {
  const clock = new ManualClock();
  const log = new MemoryLog();
  const store = new MemoryStore(clock);
  const written = await store.write({ key: getSchedulerKey(POOL), value: "{}", expected: 0 });
  const elected = written._unsafeUnwrap();
  const channel = new ScriptedChannel(clock);
  const ignore = (): void => undefined;
  const getTimeOfDay = (): number => clock.now();
  const scheduler = new PoolScheduler(
    {
      ...{ pool: POOL, store, clock, log, channel, getTimeOfDay, timings: TIMINGS, priors: [] },
      epoch: elected.kind === "written" ? elected.revision : 0,
      confirmationGuard: new ConfirmationGuard(clock, getTimeOfDay),
      getIntakeBehindSince: () => undefined,
      getConfirmedAt: () => clock.now(),
      ...{ onRecorded: ignore, onUnable: ignore, onJobsOutdated: ignore, onSuperseded: ignore },
    },
    [],
  );
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
  const record = createJobRecord([createStep(step)]);
  scheduler.addJob({
    ...{ id: JOB, pool: POOL, record, acceptedRevision: 1, isCancelled: false, phase: "queued" },
    progress: undefined,
    progressRevision: 0,
    isProgressUnreadable: false,
  });
  await clock.advance(HANDLED_MS);
}
