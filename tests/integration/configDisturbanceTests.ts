/**
 * Tests that agents throttle and evict batch tasks by the disturbance that they cause, with separate
 * processes.
 */
import test from "ava";
import { request } from "undici";
import type { ConfigSnapshot } from "../../src/protocol/config/ConfigDocument.ts";
import type { YieldExplanation } from "../../src/transport/agent/yielding/YieldService.ts";
import { Cluster } from "../../standins/cluster/Cluster.ts";
import { callJson } from "../../standins/cluster/httpJson.ts";
import { waitUntil } from "../../standins/cluster/waitUntil.ts";
import { createChange, SAMPLE_PROFILE } from "../support/configSamples.ts";

const CALL_INTERVAL_MS = 15;
const START_MS = 60_000;
const ESTIMATION_TIMEOUT_MS = 60_000;
const RESOURCES = { processorsMilli: 4000, memoryBytes: 1024 };
const QUOTA = { processorsMilli: 100_000, memoryBytes: 1e12, accelerators: 0, weight: 1 };

let cluster: Cluster;
let timer: NodeJS.Timeout;

test.before(async () => {
  const service = { service: "rota-desk", vms: 1, slots: 8, connections: 64 };
  cluster = await Cluster.start({ services: [{ ...service, serviceTimes: "fixed 10" }] });
  const { revision } = (await callJson("GET", url("/v1/config"))).body as ConfigSnapshot;
  const change = createChange(
    crypto.randomUUID(),
    [
      { kind: "set-profile", name: "desk", profile: SAMPLE_PROFILE },
      { kind: "set-assignment", service: "rota-desk", profile: "desk" },
      { kind: "set-quota", tenant: "paper", quota: QUOTA },
    ],
    revision,
  );
  await callJson("POST", url("/v1/config/changes"), change);
  // Each core of a "noisy" task adds 100 % to the service time.
  await cluster.setServerFaults(cluster.getVm(), { disturbance: { noisy: 1 } });
  timer = setInterval(() => void call(), CALL_INTERVAL_MS);
});

test.afterEach.always(async (t) => {
  if (!t.passed) {
    t.log(JSON.stringify(await explain()));
  }
});

test.after.always(async () => {
  clearInterval(timer);
  await cluster.stop();
});

function url(path: string): string {
  return `http://${cluster.getEntry().api}${path}`;
}

async function call(): Promise<void> {
  const headers = { "fireflylb-service": "rota-desk" };
  const res = await request(`http://${cluster.getEntry().listen}/`, { headers }).catch(() => null);
  await res?.body.dump().catch(() => null);
}

async function submit(kind: string): Promise<void> {
  const job = { key: kind, tenant: "paper", kind, resources: RESOURCES, command: "run 600000" };
  await waitUntil("the job is accepted", START_MS, async () => {
    return (await callJson("POST", url("/v1/jobs"), job)).status < 300;
  });
}

async function explain(): Promise<YieldExplanation> {
  const { body } = await callJson("GET", url("/v1/explain/vm/vm-1"));
  return (body as { yielding: YieldExplanation }).yielding;
}

/** Gets the throttle percentage of the running task of a kind; undefined if there is none. */
async function getPercent(kind: string): Promise<number | undefined> {
  const { tasks } = await explain();
  const found = tasks.find((task) => (task as { kind: string }).kind === kind);
  return (found as { throttlePercent: number } | undefined)?.throttlePercent;
}

test.serial("yielding lets a kind of work run in full that disturbs nobody", async (t) => {
  await waitUntil("the latency without batch tasks is known", ESTIMATION_TIMEOUT_MS, async () => {
    const { body } = await callJson("GET", url("/v1/explain/vm/vm-1"));
    const { startHold, yielding } = body as { startHold?: string; yielding: YieldExplanation };
    const [service] = yielding.services as readonly { readonly measuredRise?: number }[];
    return startHold === undefined && service?.measuredRise !== undefined;
  });
  await submit("quiet");
  await waitUntil("the quiet task runs", START_MS, async () => {
    return (await getPercent("quiet")) !== undefined;
  });
  await waitUntil(
    "the quiet task is raised to all of its processors",
    ESTIMATION_TIMEOUT_MS,
    async () => {
      const { decisions } = await explain();
      return decisions.some(({ decision }) => decision.endsWith("to 100%"));
    },
  );
  t.is(await getPercent("quiet"), 100);
  t.log(JSON.stringify((await explain()).services));
});

test.serial(
  "yielding takes a kind of work away that disturbs beyond what is tolerated",
  async (t) => {
    await submit("noisy");
    await waitUntil("the noisy task runs", START_MS, async () => {
      return (await getPercent("noisy")) !== undefined;
    });
    const orders = async () =>
      (await explain()).decisions.map(({ decision }) => decision.split(" ")[0] ?? "");
    await waitUntil("the noisy task is evicted", ESTIMATION_TIMEOUT_MS, async () => {
      return (await orders()).includes("evict");
    });
    const done = await orders();
    t.true(done.lastIndexOf("throttle") < done.indexOf("evict"));
    t.true(done.indexOf("checkpoint") < done.indexOf("evict"));
    t.log(JSON.stringify((await explain()).decisions.slice(-5)));
    t.not(await getPercent("quiet"), undefined);
  },
);
