/**
 * Tests of the server for a worker's heartbeats with what another writer may send it, over loopback.
 */
import { fromBinary, toBinary } from "@bufbuild/protobuf";
import test, { type ExecutionContext } from "ava";
import { request } from "undici";
import { HeartbeatServer } from "../../platform/HeartbeatServer.ts";
import { PoolWorkerAgent } from "../../src/coordination/pool/PoolWorkerAgent.ts";
import {
  ObserveReplySchema,
  type ObserveReply,
} from "../../src/protocol/generated/fireflylb/v1/pool_pb.ts";
import { writeObserveReply } from "../../src/transport/pool/agentMessages.ts";
import { findFreeAddresses } from "../../standins/support/freePorts.ts";
import { createWorkerAgent } from "../support/createWorkerAgent.ts";
import { ManualClock } from "../support/ManualClock.ts";
import { MemoryLog } from "../support/MemoryLog.ts";
import { POOL, createObserveCall } from "../support/poolFixtures.ts";
import { SilentWorker } from "../support/SilentWorker.ts";

const WORKER_ADDRESS = "10.0.0.9:8080";
const TIMEOUT_MS = 2_000;
const OBSERVE_CALL = createObserveCall();

interface Fixture {
  readonly agent: PoolWorkerAgent;
  readonly clock: ManualClock;
  readonly worker: SilentWorker;
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

/** Reads the report of an agent as it reaches a scheduler, once the worker has been asked. */
async function readReport({ agent, clock, worker }: Fixture): Promise<ObserveReply> {
  // The worker confirms its announcement, and lists its runs.
  await clock.advance(2 * worker.callMs);
  const outcome = await agent.observe(OBSERVE_CALL);
  if (outcome.kind !== "answered") {
    throw new Error("the agent follows another scheduler");
  }
  const written = toBinary(ObserveReplySchema, writeObserveReply(outcome.value));
  return fromBinary(ObserveReplySchema, written);
}

async function createFixture(t: ExecutionContext): Promise<Fixture> {
  const [address = ""] = await findFreeAddresses(1);
  const clock = new ManualClock();
  const log = new MemoryLog();
  const worker = new SilentWorker(clock);
  const agent = createWorkerAgent(worker, clock, { log });
  await agent.observe(OBSERVE_CALL);
  const deps = { address, workerAddress: WORKER_ADDRESS, pool: POOL, workerAgent: agent, log };
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
  return { agent, clock, worker, log, put };
}

// Guards against a heartbeat of another writer that ends the process of the agent: an id with a
// broken percent escape was decoded outside of any check.
test("HeartbeatServer rejects an id that cannot be decoded, and accepts the next heartbeat", async (t) => {
  const fixture = await createFixture(t);
  const { put } = fixture;
  t.is(await put("i-1%E2%82", createHeartbeat()), 400);
  t.is(await put("i-1%", createHeartbeat()), 400);
  t.is((await readReport(fixture)).worker, undefined);
  t.is(await put("i-1", createHeartbeat()), 200);
  t.is((await readReport(fixture)).worker?.worker, "i-1@1000");
});

// Guards against a fault in the handling of one request that ends the process.
test("HeartbeatServer answers a request whose handling fails, and those after it", async (t) => {
  const fixture = await createFixture(t);
  const { agent, log, put } = fixture;
  const handle = agent.handleAnnouncement.bind(agent);
  agent.handleAnnouncement = () => {
    throw new Error("broken inside");
  };
  t.is(await put("i-1", createHeartbeat()), 400);
  t.true(log.format().includes("broken inside"));
  agent.handleAnnouncement = handle;
  t.is(await put("i-1", createHeartbeat()), 200);
  t.is((await readReport(fixture)).worker?.worker, "i-1@1000");
});

// Guards against a worker whose process of the agent acknowledges its heartbeats and calls it no more.
test("HeartbeatServer of a process that has been replaced accepts no heartbeat", async (t) => {
  const { agent, put } = await createFixture(t);
  agent.handleReplacement();
  t.is(await put("i-1", createHeartbeat()), 503);
});

const DEEP = `${"[".repeat(20_000)}${"]".repeat(20_000)}`;
const TOO_LARGE = [1e308, 2 ** 53, -1, 0.5];
const CAPACITY = { cpu: 16_000, mem_mb: 1_024, gpu: 0 };

/** Heartbeats that name no worker to use, as text. */
const ODD_HEARTBEATS: readonly string[] = [
  ...["", "{", "[]", "null", "7", DEEP, `{"service":${DEEP}}`, `{"__proto__":{"service":"x"}}`],
  ...TOO_LARGE.flatMap((value) => [
    createHeartbeat({ seq_no: value }),
    createHeartbeat({ born: value }),
    createHeartbeat({ capacity: { ...CAPACITY, cpu: value } }),
    createHeartbeat({ capacity: { ...CAPACITY, mem_mb: value } }),
    createHeartbeat({ capacity: { ...CAPACITY, gpu: value } }),
  ]),
  createHeartbeat({ capacity: { ...CAPACITY, gpu: 2 ** 32 } }),
  createHeartbeat({ capacity: { ...CAPACITY, mem_mb: 2 ** 40 } }),
  createHeartbeat({ service: "" }),
  createHeartbeat({ service: "x".repeat(5_000) }),
  createHeartbeat({ zone: "\ud800" }),
  createHeartbeat({ labels: Array.from({ length: 5_000 }, () => "x") }),
  createHeartbeat({ labels: Array.from({ length: 5_000 }, () => 1) }),
  createHeartbeat({ labels: ["\ud800"] }),
  createHeartbeat({ state: "sleeping" }),
  createHeartbeat({ drain_remaining_ms: 1e308 }),
  ...[
    "10.0.0.9:0",
    "10.0.0.9:65536",
    "10.0.0.9:99999",
    "10.0.0.9:-1",
    "10.0.0.9",
    ":",
    "a b:1",
  ].map((address) => createHeartbeat({ address })),
];

// Guards against a heartbeat of another writer that is believed: with a sequence number too large
// the later ones of the worker counted as old, and with a capacity that no message can carry each
// report of the agent failed.
test("HeartbeatServer rejects heartbeats with values that cannot be right, and follows the worker on", async (t) => {
  const fixture = await createFixture(t);
  const { put } = fixture;
  t.is(await put("i-1", createHeartbeat()), 200);
  const before = await readReport(fixture);
  t.is(before.worker?.worker, "i-1@1000");
  const statuses = await Promise.all(ODD_HEARTBEATS.map((body) => put("i-1", body)));
  const accepted = ODD_HEARTBEATS.filter((_, position) => statuses[position] !== 400);
  t.deepEqual(
    accepted.map((body) => body.slice(0, 300)),
    [],
  );
  const after = await readReport(fixture);
  // The last reading has become older, and nothing else has changed.
  const { readingAgeMs = 0 } = before.worker ?? {};
  t.deepEqual({ ...after, worker: { ...after.worker, readingAgeMs } }, { ...before });
  t.is(await put("i-1", createHeartbeat({ seq_no: 2, state: "draining" })), 200);
  t.true((await readReport(fixture)).worker?.draining);
});

test("HeartbeatServer accepts the largest values that messages carry", async (t) => {
  const fixture = await createFixture(t);
  const { put } = fixture;
  const capacity = { cpu: Number.MAX_SAFE_INTEGER, mem_mb: 2 ** 33 - 1, gpu: 2 ** 32 - 1 };
  t.is(await put("i-1", createHeartbeat({ capacity, seq_no: Number.MAX_SAFE_INTEGER })), 200);
  t.is((await readReport(fixture)).worker?.processorsMilli, BigInt(Number.MAX_SAFE_INTEGER));
});

// Guards against a worker that nothing is placed on: a heartbeat of another writer, with its id and
// start and a service that is not its own, moved it to another pool.
test("HeartbeatServer rejects a heartbeat that names another service", async (t) => {
  const fixture = await createFixture(t);
  const { put } = fixture;
  t.is(await put("i-1", createHeartbeat()), 200);
  t.is(await put("i-1", createHeartbeat({ service: "pool-b", seq_no: 2 })), 400);
  t.is((await readReport(fixture)).worker?.pool, POOL);
  t.is(await put("i-1", createHeartbeat({ seq_no: 3, state: "draining" })), 200);
  t.true((await readReport(fixture)).worker?.draining);
});

// Guards against a log that fills up with the heartbeats of another writer.
test("HeartbeatServer logs an odd heartbeat once, in a line of limited length", async (t) => {
  const { log, put } = await createFixture(t);
  const position = log.lines.length;
  const odd = createHeartbeat({ labels: Array.from({ length: 5_000 }, () => 1) });
  const elsewhere = createHeartbeat({ address: "10.0.0.8:8080" });
  for (const body of [odd, odd, odd, elsewhere, elsewhere, elsewhere, "{", "{", "{"]) {
    t.is(await put("i-9", body), 400);
  }
  t.is(log.lines.length - position, 3, log.format().slice(0, 2_000));
  const longest = log.lines.map(({ fields }) => JSON.stringify(fields).length);
  t.true(Math.max(...longest) < 2_000, `${Math.max(...longest)} characters`);
});

// Guards against bytes that cannot be read and that are believed with replaced characters.
test("HeartbeatServer rejects a heartbeat that is not UTF-8", async (t) => {
  const { agent, put } = await createFixture(t);
  const [start = "", end = ""] = createHeartbeat({ zone: "zone-?" }).split("?");
  const body = Buffer.concat([Buffer.from(start), Buffer.from([0xe2, 0x82]), Buffer.from(end)]);
  t.is(await put("i-1", body), 400);
  t.is(agent.incarnation, undefined);
});
