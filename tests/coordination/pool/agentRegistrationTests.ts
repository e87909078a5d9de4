/**
 * Tests of the registration of agents in the store, in virtual time.
 */
import test from "ava";
import { AgentRegistration } from "../../../src/coordination/pool/AgentRegistration.ts";
import { getAgentKey } from "../../../src/state/pool/PoolKeys.ts";
import { MemoryStore } from "../../../standins/store/MemoryStore.ts";
import { ManualClock } from "../../support/ManualClock.ts";
import { MemoryLog } from "../../support/MemoryLog.ts";
import { POOL } from "../../support/poolFixtures.ts";

const NAME = "agent-a";
/** Longer than the delay of a retry, in milliseconds. */
const RETRIED_MS = 1_000;

function createFixture() {
  const clock = new ManualClock();
  const store = new MemoryStore(clock);
  /** Processes that another one has replaced. */
  const replaced: string[] = [];
  const create = (process: string): AgentRegistration => {
    const record = { address: "10.0.0.1:7000", zone: "zone-a", pool: POOL, process };
    return new AgentRegistration({
      ...{ store, clock, log: new MemoryLog(), name: NAME, record },
      onReplaced: () => replaced.push(process),
    });
  };
  return { clock, store, replaced, create };
}

// Guards against fencing tokens of a process that begin no later than those of the one before.
test("AgentRegistration has a later revision for each process", async (t) => {
  const { store, create } = createFixture();
  const first = (await create("p-1").renew()) ?? 0;
  const second = (await create("p-2").renew()) ?? 0;
  t.true(first > 0 && second > first);
  t.is((await store.read(getAgentKey(NAME)))._unsafeUnwrap()?.revision, second);
});

// Guards against a process whose fencing tokens are used up and that gets no others.
test("AgentRegistration has a later revision when it is renewed", async (t) => {
  const { clock, replaced, create } = createFixture();
  const registration = create("p-1");
  const first = (await registration.renew()) ?? 0;
  const renewing = registration.renew();
  await clock.advance(RETRIED_MS);
  t.true(((await renewing) ?? 0) > first);
  t.deepEqual(replaced, []);
});

// Guards against two processes of an agent that register in turn, so that neither keeps its worker.
test("AgentRegistration is not renewed once another process has registered", async (t) => {
  const { clock, store, replaced, create } = createFixture();
  const first = create("p-1");
  await first.renew();
  const second = await create("p-2").renew();
  const renewals = [first.renew(), first.renew()];
  await clock.advance(RETRIED_MS);
  t.deepEqual(await Promise.all(renewals), [undefined, undefined]);
  t.deepEqual(replaced, ["p-1"]);
  t.is((await store.read(getAgentKey(NAME)))._unsafeUnwrap()?.revision, second);
});

// Guards against a process that says at its ordinary end that another one has replaced it.
test("AgentRegistration reports no replacement once it is stopped", async (t) => {
  const { clock, replaced, create } = createFixture();
  const first = create("p-1");
  await first.renew();
  await create("p-2").renew();
  const renewing = first.renew();
  first.stop();
  await clock.advance(RETRIED_MS);
  t.is(await renewing, undefined);
  t.deepEqual(replaced, []);
});

test("AgentRegistration retries until the store holds it", async (t) => {
  const { clock, store, create } = createFixture();
  store.faults.outage = true;
  const registering = create("p-1").renew();
  await clock.advance(RETRIED_MS);
  store.faults.outage = false;
  await clock.advance(RETRIED_MS);
  t.true(((await registering) ?? 0) > 0);
});

// Guards against a second registration after a write without an answer, which took effect.
test("AgentRegistration finds what a write without an answer has written", async (t) => {
  const { clock, store, create } = createFixture();
  store.faults.lostAnswers = 1;
  const registering = create("p-1").renew();
  await clock.advance(RETRIED_MS);
  t.is(await registering, (await store.read(getAgentKey(NAME)))._unsafeUnwrap()?.revision);
  t.is(store.model.list("").entries.length, 1);
});

test("AgentRegistration writes nothing more once it is stopped", async (t) => {
  const { clock, store, create } = createFixture();
  store.faults.outage = true;
  const registration = create("p-1");
  const registering = registration.renew();
  registration.stop();
  store.faults.outage = false;
  await clock.advance(RETRIED_MS);
  t.is(await registering, undefined);
  t.deepEqual(store.model.list("").entries, []);
});
