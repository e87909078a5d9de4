/**
 * Tests of how the scheduler handles the reports of an agent whose process is replaced, in virtual
 * time, with scripted reports.
 */
import test from "ava";
import {
  AgentChannel,
  type AgentOutcome,
  type AgentReport,
  type ObserveCall,
  type OrderCall,
  type OrderReport,
  type WorkerReport,
} from "../../../src/coordination/pool/AgentChannel.ts";
import { ConfirmationGuard } from "../../../src/coordination/pool/ConfirmationGuard.ts";
import { PoolScheduler } from "../../../src/coordination/pool/PoolScheduler.ts";
import { getSchedulerKey } from "../../../src/state/pool/PoolKeys.ts";
import { MemoryStore } from "../../../standins/store/MemoryStore.ts";
import { ManualClock } from "../../support/ManualClock.ts";
import { MemoryLog } from "../../support/MemoryLog.ts";
import {
  createJobRecord,
  createStep,
  createWorkerReport,
  POOL,
} from "../../support/poolFixtures.ts";
import { TIMINGS } from "./PoolSimulation.ts";

const AGENT = "agent-a";
const JOB = "0000000000000001";
/** Number of the call of the first process after which its worker was given the run. */
const FORMER_CALL = 50;
/** Time in which the scheduler has handled a new report, in milliseconds; no lease ends in it. */
const HANDLED_MS = 100;

/** Channel to one agent, whose reports the test sets. */
class ScriptedChannel extends AgentChannel {
  orderCallNumber = FORMER_CALL;
  orderCount = 0;
  private readonly _clock: ManualClock;
  private _report: AgentReport = {
    ...{ process: "a", version: 1, worker: createWorkerReport(), formerEnds: [] },
  };

  constructor(clock: ManualClock) {
    super();
    this._clock = clock;
  }

  /**
   * Sets the report of the agent.
   * @param process - Identity of its process.
   * @param worker - The worker; undefined if none has announced itself.
   */
  setReport(process: string, worker: WorkerReport | undefined): void {
    this._report = { process, version: this._report.version + 1, worker, formerEnds: [] };
  }

  override async observe(_: string, call: ObserveCall): Promise<AgentOutcome<AgentReport>> {
    const until = this._clock.now() + call.waitMs;
    while (call.knownVersion === this._report.version && this._clock.now() < until) {
      await this._clock.sleep(10);
    }
    return { kind: "answered", value: this._report };
  }

  override async order(_: string, call: OrderCall): Promise<AgentOutcome<OrderReport>> {
    this.orderCount += call.starts.length;
    await this._clock.sleep(1);
    const toResult = ({ task, run }: { readonly task: string; readonly run: number }) => ({
      task,
      run,
      failure: undefined,
    });
    const [starts, stops, paces] = [call.starts, call.stops, call.paces].map((orders) =>
      orders.map(toResult),
    );
    return {
      kind: "answered",
      value: {
        callNumber: this.orderCallNumber,
        starts: starts ?? [],
        stops: stops ?? [],
        paces: paces ?? [],
      },
    };
  }

  override reset(): void {
    // There is no connection.
  }
}

interface Fixture {
  readonly clock: ManualClock;
  readonly channel: ScriptedChannel;
  readonly scheduler: PoolScheduler;
  /** Gets the reasons for which runs were found lost. */
  readonly getLostReasons: () => readonly unknown[];
}

/** Starts a scheduler with one agent. */
async function createFixture(): Promise<Fixture> {
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
    channel,
    scheduler,
    getLostReasons: () =>
      log.lines
        .filter(({ sentence }) => sentence.startsWith("Run is lost"))
        .map(({ fields }) => fields.reason),
  };
}

/** Adds a long-running job of one task and waits until its start has been ordered. */
async function orderRun({ clock, scheduler }: Fixture): Promise<void> {
  const record = createJobRecord([createStep({ longRunning: true })]);
  scheduler.addJob({
    ...{ id: JOB, pool: POOL, record, acceptedRevision: 1, isCancelled: false, phase: "queued" },
    progress: undefined,
    progressRevision: 0,
    isProgressUnreadable: false,
  });
  await clock.advance(HANDLED_MS);
}

const REASON = "its worker does not list it (ordered)";
const UNKNOWN_WORKER = undefined;
const SILENT_WORKER = createWorkerReport({ callNumber: 0, answers: false });

[
  { title: "does not know its worker yet", first: UNKNOWN_WORKER },
  { title: "has no answer of its worker yet", first: SILENT_WORKER },
].forEach(({ title, first }) => {
  // Guards against an accepted task that does not run, because its run, which was ordered from the
  // former process of the agent, is found lost only after as many calls of the new process.
  test(`AgentReportHandler finds a run lost after a new process that ${title}`, async (t) => {
    const fixture = await createFixture();
    const { clock, channel, scheduler, getLostReasons } = fixture;
    await orderRun(fixture);
    t.is(channel.orderCount, 1);
    channel.setReport("b", first);
    await clock.advance(HANDLED_MS);
    t.deepEqual(getLostReasons(), []);
    channel.setReport("b", createWorkerReport({ callNumber: 3 }));
    await clock.advance(HANDLED_MS);
    t.deepEqual(getLostReasons(), [REASON]);
    scheduler.stop();
  });
});

// Guards against a second run of a task whose first one was ordered from the new process: lists of a
// call that was in progress then do not show it.
test("AgentReportHandler retains a run that a new process started before its first lists", async (t) => {
  const fixture = await createFixture();
  const { clock, channel, scheduler, getLostReasons } = fixture;
  channel.setReport("b", UNKNOWN_WORKER);
  await clock.advance(HANDLED_MS);
  channel.orderCallNumber = 1;
  await orderRun(fixture);
  t.is(channel.orderCount, 1);
  channel.setReport("b", createWorkerReport({ callNumber: 1 }));
  await clock.advance(HANDLED_MS);
  t.deepEqual(getLostReasons(), []);
  channel.setReport("b", createWorkerReport({ callNumber: 2 }));
  await clock.advance(HANDLED_MS);
  t.deepEqual(getLostReasons(), [REASON]);
  scheduler.stop();
});
