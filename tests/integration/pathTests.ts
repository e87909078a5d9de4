/**
 * End-to-end tests of requests with the built binary in separate processes.
 */
import test from "ava";
import { request } from "undici";
import { createPatternStream, getPattern } from "../../standins/backend/streams.ts";
import { CallerLoad } from "../../standins/callers/CallerLoad.ts";
import type { CallerLoadOptions } from "../../standins/callers/CallerLoad.ts";
import { Cluster } from "../../standins/cluster/Cluster.ts";
import { waitUntil } from "../../standins/cluster/waitUntil.ts";
import type { FaultProxy } from "../../standins/proxy/FaultProxy.ts";
import { findRequestViolations } from "../../standins/history/requestHistory.ts";
import { MachineClock } from "../../standins/support/MachineClock.ts";
import { SeededRandom } from "../support/SeededRandom.ts";

const STREAM_BYTES = 5_000_000;
const RESPONSE_TIMEOUT_MS = 20_000;
/** Shorter than the default, so that the test needs not wait as long. */
const OWNER_LEASE_MS = 1_500;
/** Time after which an entry forgets what nobody reports to it, in milliseconds. */
const EXPIRY_MS = 1_500;

const KINDS: CallerLoadOptions["kinds"] = [
  { method: "GET", name: "check", requestClass: "urgent", tenant: "paper-surat" },
  { method: "POST", name: "swap", requestClass: "normal", tenant: "paper-ahmedabad" },
];

function createLoad(
  cluster: Cluster,
  random: SeededRandom,
  entries = cluster.entries.map((entry) => entry.listen),
): CallerLoad {
  return new CallerLoad({
    clock: new MachineClock(),
    random,
    entries,
    service: "rota-desk",
    callers: 24,
    thinkMs: 5,
    timeoutMs: 5_000,
    kinds: KINDS,
  });
}

/** Gets the outcome of a request as its caller sees it. */
async function getOutcome(url: string): Promise<"complete" | "refused" | "cut" | "hung"> {
  const signal = AbortSignal.timeout(RESPONSE_TIMEOUT_MS);
  try {
    const res = await request(url, { headers: { "fireflylb-service": "rota-desk" }, signal });
    await res.body.arrayBuffer();
    return res.statusCode === 200 ? "complete" : "refused";
  } catch {
    return signal.aborted ? "hung" : "cut";
  }
}

async function waitForOutcomes(load: CallerLoad, count: number): Promise<void> {
  const wanted = load.outcomes.length + count;
  await waitUntil(`${count} more outcomes`, 30_000, () =>
    Promise.resolve(load.outcomes.length >= wanted),
  );
}

test.serial("a request runs once and streams in both directions", async (t) => {
  const cluster = await Cluster.start({ entries: 1 });
  t.teardown(() => cluster.stop());
  const url = `http://${cluster.getEntry().listen}`;
  const headers = { "fireflylb-service": "rota-desk" };
  const swap = await request(`${url}/swap/1`, { method: "POST", headers, body: "night desk" });
  t.is(swap.statusCode, 200);
  t.is(swap.headers["fireflylb-verdict"], "ran");
  t.like(await swap.body.json(), { method: "POST", path: "/swap/1", bodyBytes: 10 });
  const stream = await request(`${url}/stream?bytes=${STREAM_BYTES}`, { headers });
  const bytes = Buffer.from(await stream.body.arrayBuffer());
  t.is(bytes.length, STREAM_BYTES);
  t.true(bytes.subarray(4_980_736).equals(getPattern(4_980_736, STREAM_BYTES - 4_980_736)));
  const echo = await request(`${url}/echo`, {
    method: "POST",
    headers,
    body: createPatternStream(STREAM_BYTES),
  });
  t.true(Buffer.from(await echo.body.arrayBuffer()).equals(bytes));
  const starts = cluster.readServerEvents().filter((event) => event.event === "request-start");
  t.deepEqual(
    starts.map((event) => event.path),
    ["/swap/1", `/stream?bytes=${STREAM_BYTES}`, "/echo"],
  );
});

test.serial("a truncated response never looks complete to the caller", async (t) => {
  const cluster = await Cluster.start({ entries: 1 });
  t.teardown(() => cluster.stop());
  await Promise.all(cluster.vms.map((vm) => cluster.setServerFaults(vm, { truncate: true })));
  const url = `http://${cluster.getEntry().listen}/stream`;
  for (const query of ["?bytes=1000000", "?bytes=1000000&chunked=1"]) {
    const outcome = await getOutcome(`${url}${query}`);
    t.true(outcome === "cut" || outcome === "refused", `${query}: ${outcome}`);
  }
});

test.serial("requests stay correct while a VM fails and a backend server shuts down", async (t) => {
  const random = SeededRandom.announce(20_261_203, (text) => {
    t.log(text);
  });
  const service = {
    service: "rota-desk",
    vms: 4,
    serviceTimes: "exponential 20",
    slots: 8,
    connections: 64,
  };
  const cluster = await Cluster.start({ entries: 2, services: [service] });
  t.teardown(() => cluster.stop());
  const load = createLoad(cluster, random);
  load.start();
  await waitForOutcomes(load, 300);
  const failing = cluster.getVm(0);
  await Promise.all([failing.agent.process.kill(), failing.server?.process.kill()]);
  await waitForOutcomes(load, 300);
  const leaving = cluster.getVm(1).server;
  const end = await leaving?.process.stop();
  t.is(end?.code, 0);
  await waitForOutcomes(load, 300);
  const outcomes = await load.stop();
  const events = cluster.readServerEvents();
  t.deepEqual(findRequestViolations(outcomes, events), []);
  const cut = events.filter(
    (event) => event.event === "request-end" && event.server === leaving?.name && !event.delivered,
  );
  t.deepEqual(cut, []);
  const failed = outcomes.filter((outcome) => outcome.status !== 200);
  t.log(`${outcomes.length} requests, ${failed.length} without a response of the service`);
  t.true(failed.every((outcome) => outcome.kind.method === "POST"));
});

test.serial(
  "requests stay correct over connections that are reset before the response",
  async (t) => {
    const random = SeededRandom.announce(20_261_204, (text) => {
      t.log(text);
    });
    const cluster = await Cluster.start({ entries: 1, proxyRequests: true });
    t.teardown(() => cluster.stop());
    const proxies = cluster.vms
      .map((vm) => vm.agent.proxy)
      .filter((proxy): proxy is FaultProxy => proxy !== undefined);
    t.is(proxies.length, cluster.vms.length);
    const load = createLoad(cluster, random);
    load.start();
    await waitForOutcomes(load, 200);
    await Promise.all(
      proxies.map((proxy) => proxy.setFaults({ cutAfterDownBytes: 2_000, cutShare: 0.5 })),
    );
    await waitForOutcomes(load, 300);
    await Promise.all(proxies.map((proxy) => proxy.clearFaults()));
    await waitForOutcomes(load, 200);
    const outcomes = await load.stop();
    t.true(proxies.some((proxy) => proxy.counts.cut > 0));
    t.deepEqual(findRequestViolations(outcomes, cluster.readServerEvents()), []);
    const failed = outcomes.filter((outcome) => outcome.status !== 200);
    t.log(`${outcomes.length} requests, ${failed.length} without a response of the service`);
  },
);

test.serial("requests do not depend on the store", async (t) => {
  const cluster = await Cluster.start({ entries: 1 });
  t.teardown(() => cluster.stop());
  await cluster.setStoreFaults({ outage: "refuse" });
  const load = createLoad(cluster, new SeededRandom(1));
  load.start();
  await waitForOutcomes(load, 500);
  const outcomes = await load.stop();
  t.deepEqual(
    outcomes.filter((outcome) => outcome.status !== 200),
    [],
  );
});

// Guards against an entry that loses sight of all VMs and refuses requests, because the others take
// the end of its lease in the store for the end of the entry.
test.serial("an entry that is cut off from the store for long still serves requests", async (t) => {
  const cluster = await Cluster.start({
    entries: 3,
    proxyStore: true,
    entrySettings: {
      batch: { owner_lease_ms: String(OWNER_LEASE_MS) },
      fleet: { expiry_ms: String(EXPIRY_MS) },
    },
  });
  t.teardown(() => cluster.stop());
  const entry = cluster.getEntry(2);
  await entry.storeProxy?.setFaults({ newConnections: "refuse" });
  entry.storeProxy?.cutAll();
  await new MachineClock().sleep(2 * (OWNER_LEASE_MS + EXPIRY_MS));
  const load = createLoad(cluster, new SeededRandom(1), [entry.listen]);
  load.start();
  await waitForOutcomes(load, 500);
  const outcomes = await load.stop();
  const failed = outcomes.filter((outcome) => outcome.status !== 200);
  t.is(failed.length, 0, `${failed.length} of ${outcomes.length} requests failed`);
});
