/**
 * Tests that agents throttle and evict batch tasks at heat levels, with separate processes.
 */
import test from "ava";
import type { ConfigOperation } from "../../src/protocol/config/ConfigChange.ts";
import type { ConfigSnapshot } from "../../src/protocol/config/ConfigDocument.ts";
import type { YieldExplanation } from "../../src/transport/agent/yielding/YieldService.ts";
import { Cluster } from "../../standins/cluster/Cluster.ts";
import { callJson } from "../../standins/cluster/httpJson.ts";
import { waitUntil } from "../../standins/cluster/waitUntil.ts";
import { createChange, SAMPLE_PROFILE, createHeatOperation } from "../support/configSamples.ts";

const YIELD_MS = 10_000;
const START_MS = 20_000;
const RECOVERY_MS = 30_000;
const HEAT_PERCENT = 30;
const QUOTA = {
  processorsMilli: 100_000,
  memoryBytes: 1_000_000_000_000,
  accelerators: 0,
  weight: 1,
};
const PROFILE = {
  ...SAMPLE_PROFILE,
  toleratedDisturbancePercent: 1000,
  heat: [
    { level: 1, startTasks: false, throttlePercent: HEAT_PERCENT, evict: false },
    { level: 3, startTasks: false, throttlePercent: HEAT_PERCENT, evict: true },
  ],
};

let cluster: Cluster;

test.before(async () => {
  cluster = await Cluster.start({
    services: [
      {
        service: "rota-desk",
        vms: 1,
        serviceTimes: "exponential 5",
        slots: 8,
        connections: 64,
      },
    ],
  });
  await change([
    { kind: "set-profile", name: "desk", profile: PROFILE },
    { kind: "set-assignment", service: "rota-desk", profile: "desk" },
    { kind: "set-quota", tenant: "paper", quota: QUOTA },
  ]);
  const job = {
    key: "rebuild-1",
    tenant: "paper",
    kind: "rebuild",
    tasks: 1,
    resources: { processorsMilli: 2000, memoryBytes: 1024 },
    command: "run 600000",
  };
  await waitUntil("the job is accepted", START_MS, async () => {
    const { status } = await callJson("POST", url("/v1/jobs"), job);
    return status < 300;
  });
});

test.after.always(async () => {
  await cluster.stop();
});

function url(path: string): string {
  return `http://${cluster.getEntry().api}${path}`;
}

async function change(operations: readonly ConfigOperation[]): Promise<void> {
  const { revision } = (await callJson("GET", url("/v1/config"))).body as ConfigSnapshot;
  const body = createChange(crypto.randomUUID(), operations, revision);
  const reply = await callJson("POST", url("/v1/config/changes"), body);
  if (reply.status !== 200) {
    throw new Error(JSON.stringify(reply.body));
  }
}

async function readStartHold(): Promise<string | undefined> {
  const { body } = await callJson("GET", url("/v1/explain/vm/vm-1"));
  return (body as { startHold?: string }).startHold;
}

async function explain(): Promise<YieldExplanation> {
  const { body } = await callJson("GET", url("/v1/explain/vm/vm-1"));
  return (body as { yielding: YieldExplanation }).yielding;
}

async function readPercents(): Promise<readonly number[]> {
  const { body } = await callJson("GET", `http://${cluster.getVm().worker.address}/v1/report`);
  const { tasks } = body as { tasks: readonly { phase: string; throttlePercent: number }[] };
  return tasks.filter(({ phase }) => phase === "running").map((task) => task.throttlePercent);
}

async function waitForPercent(percent: number, timeoutMs: number): Promise<void> {
  await waitUntil(`tasks run at ${percent}%`, timeoutMs, async () => {
    const percents = await readPercents();
    return percents.length > 0 && percents.every((current) => current === percent);
  });
}

test.serial(
  "yielding throttles at the operators' heat level within 10 s and recovers afterwards",
  async (t) => {
    await waitForPercent(100, START_MS);
    await change([createHeatOperation("zone-a", 1)]);
    await waitForPercent(HEAT_PERCENT, YIELD_MS);
    const explanation = await explain();
    t.like(explanation, {
      heat: { level: 1, reason: "set by operators; the worker reports no heat" },
    });
    t.true(explanation.decisions.some(({ decision }) => decision.endsWith(`to ${HEAT_PERCENT}%`)));
    await change([createHeatOperation("zone-a", 0)]);
    await waitForPercent(100, RECOVERY_MS);
    const percents = (await explain()).decisions.flatMap(({ decision }) => {
      const found = /to (\d+)%$/.exec(decision);
      return found === null ? [] : [Number(found[1])];
    });
    t.deepEqual(percents, [HEAT_PERCENT, 55, 80, 100]);
  },
);

test.serial(
  "yielding evicts tasks with a checkpoint at the worker's heat level within 10 s",
  async (t) => {
    await cluster.setWorkerSwitches(cluster.getVm(), { heatLevel: 3 });
    await waitUntil("no task runs", YIELD_MS, async () => (await readPercents()).length === 0);
    const { heat, decisions } = await explain();
    t.like(heat, { level: 3, reason: "reported by the worker" });
    const last = decisions.slice(-3).map(({ decision }) => decision.split(" ")[0]);
    t.true(last.includes("checkpoint") && last.includes("evict"), last.join(", "));
    t.regex((await readStartHold()) ?? "", /heat level 3/);
    t.true(cluster.readWorkerEvents().some((event) => event.event === "checkpoint"));
  },
);

test.serial("yielding keeps the heat level when the report is missing, and says so", async (t) => {
  await cluster.setWorkerSwitches(cluster.getVm(), { heatLevel: null });
  await waitUntil(
    "the agent notices the missing report",
    YIELD_MS,
    async () => (await explain()).heat.isAssumed,
  );
  const { heat } = await explain();
  t.is(heat.level, 3);
  t.regex(heat.reason, /missing/);
});
