/**
 * Tests of the fencing tokens that an agent sends to its worker, and of what it makes of a refusal, in
 * virtual time.
 */
import test from "ava";
import { errAsync, okAsync, type ResultAsync } from "neverthrow";
import { PoolWorkerAgent } from "../../../src/coordination/pool/PoolWorkerAgent.ts";
import type {
  StartCall,
  SyncCall,
  WorkerCallFailure,
  WorkerRuns,
} from "../../../src/protocol/platform/PoolWorker.ts";
import { NO_RESOURCES } from "../../../src/protocol/Resources.ts";
import {
  announceWorker,
  createFencingToken,
  createWorkerAgent,
} from "../../support/createWorkerAgent.ts";
import { ManualClock } from "../../support/ManualClock.ts";
import { MemoryLog } from "../../support/MemoryLog.ts";
import { createObserveCall } from "../../support/poolFixtures.ts";
import { SilentWorker } from "../../support/SilentWorker.ts";

const READING_MS = 1_500;
/** Revision of the registration of a second process. */
const LATER_REVISION = 100;
const LEASE_UNTIL_MS = 600_000;
const ORDERS = {
  ...{ epoch: 1, worker: "i-1@1", leaseUntilMs: LEASE_UNTIL_MS, capacity: NO_RESOURCES },
  ...{ stops: [], paces: [] },
  starts: [{ task: "task", run: 1, payload: "", checkpoint: "", ticket: "" }],
};
const FENCED: WorkerCallFailure = { kind: "fenced", detail: "" };
const NO_RESPONSE: WorkerCallFailure = { kind: "unknown", detail: "" };

/** Worker that refuses tokens lower than the highest it has seen, once calls have arrived. */
class FencingWorker extends SilentWorker {
  /** Number of further starts that get no response. */
  unansweredStarts = 0;
  /** Time that the next start takes to arrive, in milliseconds. */
  startDelayMs = 0;
  private readonly _arrivals: ManualClock;
  private _highest = 0;

  /**
   * Creates a worker.
   * @param clock - Clock of the test.
   */
  constructor(clock: ManualClock) {
    super(clock);
    this._arrivals = clock;
    this.callMs = 1;
    this.lists = { ...this.lists, startedAtMs: 1 };
  }

  override sync(call: SyncCall): ResultAsync<WorkerRuns, WorkerCallFailure> {
    return this._accept(call.fencingToken) ? super.sync(call) : errAsync(FENCED);
  }

  override start(call: StartCall): ResultAsync<void, WorkerCallFailure> {
    this.starts.push(call);
    const isUnanswered = this.unansweredStarts > 0;
    this.unansweredStarts -= isUnanswered ? 1 : 0;
    const delayMs = this.startDelayMs;
    this.startDelayMs = 0;
    return okAsync(undefined)
      .map(() => this._arrivals.sleep(delayMs))
      .andThen(() => {
        if (isUnanswered) {
          return errAsync(NO_RESPONSE);
        }
        return this._accept(call.fencingToken) ? okAsync(undefined) : errAsync(FENCED);
      });
  }

  private _accept(token: number): boolean {
    this._highest = Math.max(this._highest, token);
    return token === this._highest;
  }
}

function observe(agent: PoolWorkerAgent, epoch = 1) {
  return agent.observe(createObserveCall({ epoch, worker: "i-1@1", leaseUntilMs: LEASE_UNTIL_MS }));
}

/** Returns whether a call was sent under a token of the first process. */
function isLow({ fencingToken }: SyncCall): boolean {
  return fencingToken < (createFencingToken(LATER_REVISION).value ?? 0);
}

/** Creates an agent whose worker has announced itself and responds. */
async function createFixture() {
  const clock = new ManualClock();
  const worker = new FencingWorker(clock);
  /** A mark for each registration that is due. */
  const due: string[] = [];
  const agent = createWorkerAgent(worker, clock, { onRegistrationDue: () => due.push("due") });
  agent.start();
  announceWorker(agent, 1);
  await observe(agent);
  await clock.advance(READING_MS);
  return { clock, worker, agent, due };
}

// Guards against a process that begins lower than its predecessor, so that the next incarnation
// executes what that one has sent.
test("PoolWorkerAgent calls no worker before its process is registered", async (t) => {
  const clock = new ManualClock();
  const worker = new SilentWorker(clock);
  worker.lists = { ...worker.lists, startedAtMs: 1 };
  const onRegistrationDue = (): void => undefined;
  const deps = { worker, clock, log: new MemoryLog(), process: "p-1", onRegistrationDue };
  const agent = new PoolWorkerAgent(deps);
  agent.start();
  announceWorker(agent, 1);
  await observe(agent);
  await clock.advance(READING_MS);
  t.is(worker.syncs.length, 0);
  agent.register(1);
  await clock.advance(READING_MS);
  t.is(agent.incarnation, "i-1@1");
  agent.stop();
});

// Guards against a start that reaches another incarnation than the one that it was meant for.
test("PoolWorkerAgent calls a worker under a new token once another incarnation is announced", async (t) => {
  const { clock, worker, agent } = await createFixture();
  const before = worker.syncs.at(-1)?.fencingToken ?? 0;
  const position = worker.syncs.length;
  announceWorker(agent, 2);
  await clock.advance(READING_MS);
  const tokens = worker.syncs.slice(position).map(({ fencingToken }) => fencingToken);
  t.true(tokens.length > 0 && tokens.every((token) => token > before));
  agent.stop();
});

// Guards against the same where the next incarnation responds before it announces itself.
test("PoolWorkerAgent calls a worker under a new token after a call without a response", async (t) => {
  const { clock, worker, agent } = await createFixture();
  const before = worker.syncs.at(-1)?.fencingToken ?? 0;
  worker.isSilent = true;
  await clock.advance(READING_MS);
  const token = worker.syncs.at(-1)?.fencingToken ?? 0;
  t.true(token > before);
  await clock.advance(READING_MS);
  t.is(worker.syncs.at(-1)?.fencingToken, token, "one new token for a silence");
  agent.stop();
});

// Guards against a start without a response that is executed after its repetition was refused.
test("PoolWorkerAgent repeats a start without a response under a new token", async (t) => {
  const { clock, worker, agent } = await createFixture();
  worker.unansweredStarts = 1;
  const ordered = agent.order(ORDERS);
  await clock.advance(READING_MS);
  t.deepEqual((await ordered).kind, "answered");
  const [first, second] = worker.starts.map(({ fencingToken }) => fencingToken);
  t.true(first !== undefined && second !== undefined && second > first);
  agent.stop();
});

// Guards against a scheduler that gives the pool up, and a start that waits for its repetition by the
// scheduler, because a call of the agent itself under a new token has overtaken it.
test("PoolWorkerAgent sends a start again that the worker refuses for a token of its own", async (t) => {
  const { clock, worker, agent } = await createFixture();
  worker.startDelayMs = 50;
  const ordered = agent.order(ORDERS);
  // An announcement that nobody confirms takes a new token all the same.
  announceWorker(agent, 9);
  await clock.advance(READING_MS);
  const outcome = await ordered;
  t.deepEqual(outcome.kind === "answered" && outcome.value.starts[0]?.failure, undefined);
  t.is(worker.starts.length, 2);
  t.is((await observe(agent)).kind, "answered");
  agent.stop();
});

// Guards against an order of a former scheduler that is sent for the first time, or again, under the
// token of the next one.
test("PoolWorkerAgent sends no order again whose scheduler has been replaced", async (t) => {
  const { clock, worker, agent } = await createFixture();
  worker.unansweredStarts = 1;
  worker.startDelayMs = 50;
  const ordered = agent.order(ORDERS);
  t.is((await observe(agent, 2)).kind, "answered");
  await clock.advance(READING_MS);
  const outcome = await ordered;
  t.is(outcome.kind === "answered" && outcome.value.starts[0]?.failure, "unknown");
  t.is(worker.starts.length, 1);
  t.is((await agent.order(ORDERS)).kind, "deposed");
  agent.stop();
});

/** Creates a second agent process beside the first one, registered later, whose call the worker has seen. */
async function createSuccessor({ clock, worker }: Awaited<ReturnType<typeof createFixture>>) {
  const successor = createWorkerAgent(worker, clock, { revision: LATER_REVISION });
  successor.start();
  announceWorker(successor, 1);
  await observe(successor);
  await clock.advance(READING_MS);
  return successor;
}

// Guards against a scheduler that gives its pool up, as a process of an agent is refused for the token
// of another process of the agent, which shows no other scheduler.
test("PoolWorkerAgent whose token is too low tells no scheduler that it was superseded", async (t) => {
  const fixture = await createFixture();
  const { clock, agent } = fixture;
  const successor = await createSuccessor(fixture);
  await clock.advance(READING_MS);
  const observed = await observe(agent);
  t.is(observed.kind, "answered");
  t.is(observed.kind === "answered" && observed.value.worker?.answers, false);
  const ordered = await agent.order(ORDERS);
  t.is(ordered.kind === "answered" && ordered.value.starts[0]?.failure, "unhealthy");
  t.is((await observe(successor)).kind, "answered");
  agent.stop();
  successor.stop();
});

// Guards against a process that calls its worker under a refused token for as long as it lives.
test("PoolWorkerAgent calls its worker no more under a token that is too low", async (t) => {
  const fixture = await createFixture();
  const { clock, worker, agent, due } = fixture;
  const successor = await createSuccessor(fixture);
  await clock.advance(READING_MS);
  t.is(due.length, 1, "one registration is due");
  const lowCalls = worker.syncs.filter(isLow).length;
  await clock.advance(10 * READING_MS);
  t.is(worker.syncs.filter(isLow).length, lowCalls);
  agent.stop();
  successor.stop();
});

// Guards against an order that is reported as executed or as unknown, although the worker has refused it.
test("PoolWorkerAgent reports an order that the worker refuses for its token as not executed", async (t) => {
  const fixture = await createFixture();
  const { clock, agent, worker } = fixture;
  worker.startDelayMs = 2 * READING_MS;
  const ordered = agent.order(ORDERS);
  const successor = await createSuccessor(fixture);
  await clock.advance(2 * READING_MS);
  const outcome = await ordered;
  t.is(outcome.kind === "answered" && outcome.value.starts[0]?.failure, "unhealthy");
  t.is(worker.starts.length, 1);
  agent.stop();
  successor.stop();
});

// Guards against the agent's present process that gives its worker up, as one that it has replaced was
// told of a later epoch before it.
test("PoolWorkerAgent calls its worker again once it is registered later", async (t) => {
  const fixture = await createFixture();
  const { clock, agent } = fixture;
  const successor = await createSuccessor(fixture);
  agent.register(LATER_REVISION + 1);
  await clock.advance(READING_MS);
  const observed = await observe(agent);
  t.is(observed.kind === "answered" && observed.value.worker?.answers, true);
  agent.stop();
  successor.stop();
});

// Guards against a process that serves a scheduler although another one has taken its place.
test("PoolWorkerAgent that has been replaced leaves the calls of schedulers to its successor", async (t) => {
  const fixture = await createFixture();
  const { clock, worker, agent } = fixture;
  const observed = await observe(agent);
  const knownVersion = observed.kind === "answered" ? observed.value.version : 0;
  const call = createObserveCall({ worker: "i-1@1", knownVersion, waitMs: READING_MS });
  const waiting = agent.observe(call);
  agent.handleReplacement();
  const calls = worker.syncs.length;
  t.is((await waiting).kind, "unreachable");
  t.is((await observe(agent)).kind, "unreachable");
  t.is((await observe(agent, 2)).kind, "unreachable");
  t.is((await agent.order({ ...ORDERS, epoch: 2 })).kind, "unreachable");
  announceWorker(agent, 2);
  await clock.advance(READING_MS);
  t.is(worker.syncs.length, calls);
  t.is(worker.starts.length, 0);
});
