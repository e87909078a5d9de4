/**
 * Tests of the server for a worker's heartbeats with what another writer may send it, over loopback.
 */
import test, { type ExecutionContext } from "ava";
import { request } from "undici";
import { HeartbeatServer } from "../../platform/HeartbeatServer.ts";
import { PoolWorkerAgent } from "../../src/coordination/pool/PoolWorkerAgent.ts";
import { findFreeAddresses } from "../../standins/support/freePorts.ts";
import { ManualClock } from "../support/ManualClock.ts";
import { MemoryLog } from "../support/MemoryLog.ts";
import { POOL } from "../support/poolFixtures.ts";
import { SilentWorker } from "../support/SilentWorker.ts";

const WORKER_ADDRESS = "10.0.0.9:8080";
const TIMEOUT_MS = 2_000;

interface Fixture {
  readonly agent: PoolWorkerAgent;
  readonly log: MemoryLog;
  /** Sends a heartbeat and returns the status of the response. */
  readonly put: (id: string, body: string | Buffer) => Promise<number>;
}

/** Creates the heartbeat of a worker as text. */
function createHeartbeat(overrides: Readonly<Record<string, unknown>> = {}): string {
  return JSON.stringify({
    ...{ service: POOL, address: WORKER_ADDRESS, zone: "zone-a", version: "v1", slots: 8 },
    ...{ state: "ready", cold_remaining_ms: 0, labels: ["kind-a", "rack-1"], seq_no: 1 },
    ...{ born: 1_000, capacity: { cpu: 16_000, mem_mb: 1_024, gpu: 0 } },
    ...overrides,
  });
}

async function createFixture(t: ExecutionContext): Promise<Fixture> {
  const [address = ""] = await findFreeAddresses(1);
  const clock = new ManualClock();
  const log = new MemoryLog();
  const worker = new SilentWorker(clock);
  const agent = new PoolWorkerAgent({ worker, clock, log, process: "p-1" });
  const deps = { address, workerAddress: WORKER_ADDRESS, workerAgent: agent, log };
  const server = new HeartbeatServer(deps);
  t.true((await server.listen()).isOk());
  t.teardown(() => server.close());
  const put = async (id: string, body: string | Buffer): Promise<number> => {
    const signal = AbortSignal.timeout(TIMEOUT_MS);
    const url = `http://${address}/v1/instances/${id}`;
    const res = await request(url, { method: "PUT", body, signal });
    await res.body.dump();
    return res.statusCode;
  };
  return { agent, log, put };
}

// Guards against a heartbeat of another writer that ends the process of the agent: an id with a
// broken percent escape was decoded outside of any check.
test("HeartbeatServer rejects an id that cannot be decoded, and accepts the next heartbeat", async (t) => {
  const { agent, put } = await createFixture(t);
  t.is(await put("i-1%E2%82", createHeartbeat()), 400);
  t.is(await put("i-1%", createHeartbeat()), 400);
  t.is(agent.incarnation, undefined);
  t.is(await put("i-1", createHeartbeat()), 200);
  t.is(agent.incarnation, "i-1@1000");
});

// Guards against a fault in the handling of one request that ends the process.
test("HeartbeatServer answers a request whose handling fails, and those after it", async (t) => {
  const { agent, log, put } = await createFixture(t);
  const handle = agent.handleAnnouncement.bind(agent);
  agent.handleAnnouncement = () => {
    throw new Error("broken inside");
  };
  t.is(await put("i-1", createHeartbeat()), 400);
  t.true(log.format().includes("broken inside"));
  agent.handleAnnouncement = handle;
  t.is(await put("i-1", createHeartbeat()), 200);
  t.is(agent.incarnation, "i-1@1000");
});
