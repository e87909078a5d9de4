/**
 * Tests of requests under faults, with the built binary behind fault-injecting proxies. The outcomes
 * that callers see are compared with the journals of the backend servers.
 */
import test, { type ExecutionContext } from "ava";
import { CallerLoad, type CallOutcome } from "../../standins/callers/CallerLoad.ts";
import { Cluster } from "../../standins/cluster/Cluster.ts";
import type { ClusterVm } from "../../standins/cluster/ClusterVm.ts";
import { waitUntil } from "../../standins/cluster/waitUntil.ts";
import { findRequestViolations } from "../../standins/history/requestHistory.ts";
import { findDrainViolations, findSlotViolations } from "../../standins/history/serverHistory.ts";
import type { FaultProxy } from "../../standins/proxy/FaultProxy.ts";
import type { ProxyFaultsChange } from "../../standins/proxy/ProxyFaults.ts";
import { MachineClock } from "../../standins/support/MachineClock.ts";
import { SeededRandom } from "../support/SeededRandom.ts";

const SLOTS = 8;
const TIMEOUT_MS = 1_000;
const OUTCOMES_TIMEOUT_MS = 60_000;
/** Time after the announcement of a shutdown during which requests may still arrive. */
const DRAIN_GRACE_MS = 3_000;
/** Time beyond the timeout within which a busy machine may deliver the response. */
const RESPONSE_GRACE_MS = 2_000;

const SERVICE = {
  service: "rota-desk",
  vms: 3,
  serviceTimes: "exponential 5",
  slots: SLOTS,
  connections: 64,
};

/** Share of requests that must succeed while one of three VMs is faulty. */
const MIN_SUCCESS_SHARE = 0.5;

interface Setup {
  readonly cluster: Cluster;
  readonly random: SeededRandom;
  /** Entry addresses that callers use, as from a load balancer; can be changed under load. */
  readonly entries: string[];
  readonly load: CallerLoad;
}

async function setUp(t: ExecutionContext, seed: number, callers = 16): Promise<Setup> {
  const random = SeededRandom.announce(seed, (text) => {
    t.log(text);
  });
  const cluster = await Cluster.start({ entries: 2, services: [SERVICE], proxyRequests: true });
  t.teardown(() => cluster.stop());
  const entries = cluster.entries.map((entry) => entry.listen);
  const load = new CallerLoad({
    clock: new MachineClock(),
    random,
    entries,
    service: SERVICE.service,
    callers,
    thinkMs: 5,
    timeoutMs: TIMEOUT_MS,
    kinds: [
      { method: "GET", name: "check", requestClass: "urgent", tenant: "paper-surat" },
      { method: "POST", name: "swap", requestClass: "normal", tenant: "paper-ahmedabad" },
    ],
  });
  load.start();
  await waitForOutcomes(load, 100);
  return { cluster, random, entries, load };
}

async function waitForOutcomes(load: CallerLoad, count: number): Promise<void> {
  const wanted = load.outcomes.length + count;
  await waitUntil(`${count} more outcomes`, OUTCOMES_TIMEOUT_MS, () =>
    Promise.resolve(load.outcomes.length >= wanted),
  );
}

/** Stops the load and checks the complete history. */
async function stopAndCheck(t: ExecutionContext, setup: Setup): Promise<readonly CallOutcome[]> {
  const outcomes = await setup.load.stop();
  const events = setup.cluster.readServerEvents();
  t.deepEqual(findRequestViolations(outcomes, events), []);
  t.deepEqual(findSlotViolations(events, SLOTS), []);
  const late = outcomes.filter((outcome) => outcome.latencyMs > TIMEOUT_MS + RESPONSE_GRACE_MS);
  t.deepEqual(late, []);
  const verdicts = Object.entries(
    Object.groupBy(outcomes, (outcome) => `${outcome.status ?? "cut"} ${outcome.verdict ?? ""}`),
  ).map(([name, group]) => `${name}: ${group?.length ?? 0}`);
  t.log(`${outcomes.length} requests; ${verdicts.join(", ")}`);
  return outcomes;
}

function assertMostSucceeded(t: ExecutionContext, outcomes: readonly CallOutcome[]): void {
  const succeeded = outcomes.filter((outcome) => outcome.status === 200);
  t.true(succeeded.length > outcomes.length * MIN_SUCCESS_SHARE);
}

function getProxy(vm: ClusterVm): FaultProxy {
  if (vm.agent.proxy === undefined) {
    throw new Error("proxyRequests: expected a cluster with request proxies");
  }
  return vm.agent.proxy;
}

const LINK_FAULTS: readonly ProxyFaultsChange[] = [
  { cutAfterUpBytes: 0 },
  { cutAfterUpBytes: 200 },
  { cutAfterUpBytes: 2_000 },
  { cutAfterDownBytes: 0 },
  { cutAfterDownBytes: 100 },
  { cutAfterDownBytes: 1_500 },
  { drop: "down" },
  { drop: "up" },
  { hold: "up" },
  { hold: "down" },
  { delayUpMs: TIMEOUT_MS + 200 },
  { delayDownMs: TIMEOUT_MS + 200 },
  { newConnections: "refuse" },
  { newConnections: "reset" },
];

test.serial("requests keep their guarantees while connections fail at every stage", async (t) => {
  const setup = await setUp(t, 41);
  const { cluster, load, random } = setup;
  for (const fault of LINK_FAULTS) {
    const proxy = getProxy(cluster.getVm(random.nextInt(SERVICE.vms)));
    await proxy.setFaults(fault);
    proxy.cutAll();
    await waitForOutcomes(load, 60);
    proxy.cutAll();
    await waitForOutcomes(load, 20);
    await proxy.clearFaults();
    await waitForOutcomes(load, 40);
  }
  assertMostSucceeded(t, await stopAndCheck(t, setup));
});

test.serial("requests keep their guarantees while two agents are paused and resumed", async (t) => {
  const setup = await setUp(t, 42);
  const { cluster, load } = setup;
  for (const index of [0, 1]) {
    const { process } = cluster.getVm(index).agent;
    process.pause();
    // The first requests at the paused agent exceed their time budget before it resumes.
    const pausedAt = performance.now();
    await waitUntil("the timeouts have passed", OUTCOMES_TIMEOUT_MS, () =>
      Promise.resolve(performance.now() - pausedAt > 2 * TIMEOUT_MS),
    );
    process.resume();
    await waitForOutcomes(load, 200);
  }
  assertMostSucceeded(t, await stopAndCheck(t, setup));
});

test.serial("requests keep their guarantees while agents and entries are killed", async (t) => {
  const setup = await setUp(t, 43);
  const { cluster, load, entries } = setup;
  for (const index of [0, 1]) {
    const { process } = cluster.getVm(index).agent;
    await process.kill();
    await waitForOutcomes(load, 100);
    process.start();
    await waitForOutcomes(load, 200);
  }
  const killed = cluster.getEntry(1);
  await killed.process.kill();
  entries.splice(entries.indexOf(killed.listen), 1);
  await waitForOutcomes(load, 200);
  assertMostSucceeded(t, await stopAndCheck(t, setup));
});

test.serial("a graceful shutdown interrupts no request, even during a store outage", async (t) => {
  const setup = await setUp(t, 44);
  const { cluster, load, entries } = setup;
  await cluster.setStoreFaults({ outage: "refuse" });
  const server = cluster.getVm(0).server?.process;
  t.is((await server?.stop())?.code, 0);
  await waitForOutcomes(load, 100);
  const agent = cluster.getVm(1).agent.process;
  t.is((await agent.stop()).code, 0);
  await waitForOutcomes(load, 100);
  const leaving = cluster.getEntry(1);
  const ended = leaving.process.stop();
  // A load balancer would see that the entry is no longer ready and use the others.
  entries.splice(entries.indexOf(leaving.listen), 1);
  t.is((await ended).code, 0);
  await waitForOutcomes(load, 100);
  const outcomes = await stopAndCheck(t, setup);
  assertMostSucceeded(t, outcomes);
  t.deepEqual(findDrainViolations(cluster.readServerEvents(), DRAIN_GRACE_MS), []);
  t.deepEqual(
    outcomes.filter((outcome) => outcome.status === undefined),
    [],
  );
});

test.serial(
  "slot limits hold and overload is refused promptly, also when an entry is killed",
  async (t) => {
    const setup = await setUp(t, 45, 120);
    const { cluster, load, entries } = setup;
    await Promise.all(cluster.vms.map((vm) => cluster.setServerFaults(vm, { slowFactor: 10 })));
    await waitForOutcomes(load, 400);
    const killed = cluster.getEntry(1);
    await killed.process.kill();
    entries.splice(entries.indexOf(killed.listen), 1);
    await waitForOutcomes(load, 400);
    await Promise.all(cluster.vms.map((vm) => cluster.setServerFaults(vm, { slowFactor: 1 })));
    await waitForOutcomes(load, 2_000);
    const outcomes = await stopAndCheck(t, setup);
    const refused = outcomes.filter((outcome) => outcome.refusal === "overloaded");
    t.true(refused.length > 0);
    t.true(refused.every((outcome) => outcome.verdict === "not-run"));
  },
);
