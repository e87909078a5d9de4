/**
 * Tests of the admission of late and duplicate requests, and of requests for another incarnation, by
 * an agent process.
 */
import test, { type ExecutionContext } from "ava";
import { request } from "undici";
import { z } from "zod";
import { Cluster } from "../../standins/cluster/Cluster.ts";
import { callJson } from "../../standins/cluster/httpJson.ts";
import { AgentConnections } from "../../src/transport/entry/requests/AgentConnections.ts";

const BUDGET_MS = 2_000;
const SENDER = "entry-of-the-test";

const Status = z.object({ vms: z.array(z.object({ agent: z.string(), incarnation: z.string() })) });

interface Setup {
  readonly cluster: Cluster;
  readonly incarnation: string;
}

interface Attempt {
  readonly id: string;
  readonly incarnation: string;
  /** Time by which the sent-at header is moved into the past, in milliseconds. */
  readonly delayMs?: number;
}

async function setUp(t: ExecutionContext): Promise<Setup> {
  const service = {
    service: "rota-desk",
    vms: 1,
    serviceTimes: "fixed 1",
    slots: 8,
    connections: 64,
  };
  const cluster = await Cluster.start({ entries: 1, services: [service] });
  t.teardown(() => cluster.stop());
  const { body } = await callJson("GET", `http://${cluster.getEntry().api}/v1/status`);
  const incarnation = Status.parse(body).vms[0]?.incarnation ?? "";
  return { cluster, incarnation };
}

/** Sends an attempt as an entry does and returns its status, verdict and refusal. */
async function send(cluster: Cluster, attempt: Attempt): Promise<string> {
  const { listen } = cluster.getVm().agent;
  const res = await request(`http://${listen}/swap/${attempt.id}`, {
    method: "POST",
    body: "night desk",
    headers: {
      "fireflylb-service": "rota-desk",
      "fireflylb-request-id": attempt.id,
      "fireflylb-attempt": "1",
      "fireflylb-budget-ms": String(BUDGET_MS),
      "fireflylb-incarnation": attempt.incarnation,
      "fireflylb-sender": SENDER,
      "fireflylb-sent-at": String(performance.now() - (attempt.delayMs ?? 0)),
    },
  });
  await res.body.dump();
  const { "fireflylb-verdict": verdict, "fireflylb-refusal": refusal } = res.headers;
  return [String(res.statusCode), verdict, refusal].filter((part) => part !== undefined).join(" ");
}

function getRuns(cluster: Cluster): readonly string[] {
  return cluster
    .readServerEvents()
    .filter((event) => event.event === "request-start")
    .map((event) => event.path);
}

test.serial("an agent refuses an attempt that it has settled as not run", async (t) => {
  const { cluster, incarnation } = await setUp(t);
  const connections = new AgentConnections();
  const control = connections.getControlClient(cluster.getVm().agent.control);
  const settled = await control.settleRequest({ request: "late", attempt: 1, incarnation });
  t.is(settled.verdict, "not-run");
  t.is(await send(cluster, { id: "late", incarnation }), "409 not-run duplicate-request");
  const other = { request: "late", attempt: 1, incarnation: "before" };
  t.is((await control.settleRequest(other)).verdict, "may-have-run");
  t.deepEqual(getRuns(cluster), []);
});

test.serial("an agent runs a duplicate attempt only once", async (t) => {
  const { cluster, incarnation } = await setUp(t);
  t.is(await send(cluster, { id: "twice", incarnation }), "200 ran");
  t.is(await send(cluster, { id: "twice", incarnation }), "409 may-have-run duplicate-request");
  t.deepEqual(getRuns(cluster), ["/swap/twice"]);
});

test.serial("an agent refuses late attempts and attempts for another incarnation", async (t) => {
  const { cluster, incarnation } = await setUp(t);
  t.is(await send(cluster, { id: "first", incarnation }), "200 ran");
  const late = { id: "slow", incarnation, delayMs: 2 * BUDGET_MS };
  t.is(await send(cluster, late), "504 not-run deadline-exceeded");
  const before = { id: "old", incarnation: "before" };
  t.is(await send(cluster, before), "503 not-run wrong-incarnation");
  t.deepEqual(getRuns(cluster), ["/swap/first"]);
});
