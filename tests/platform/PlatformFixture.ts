/**
 * Runs an entry and an agent of the users' platform over loopback, with stand-ins for the store and
 * the worker that implement the users' protocol.
 */
import type { ExecutionContext } from "ava";
import { request } from "undici";
import { ClientServer } from "../../platform/ClientServer.ts";
import { HeartbeatServer } from "../../platform/HeartbeatServer.ts";
import { ManifestDecoder } from "../../platform/manifest.ts";
import { PlatformStore } from "../../platform/PlatformStore.ts";
import { PlatformWorker } from "../../platform/PlatformWorker.ts";
import { readPoolAgentSettings } from "../../src/protocol/settings/PoolAgentSettings.ts";
import { readPoolEntrySettings } from "../../src/protocol/settings/PoolEntrySettings.ts";
import { PoolAgentProcess } from "../../src/transport/pool/PoolAgentProcess.ts";
import { PoolEntryProcess } from "../../src/transport/pool/PoolEntryProcess.ts";
import type { Timer } from "../../src/protocol/platform/Clock.ts";
import { SystemClock } from "../../src/transport/platform/SystemClock.ts";
import { waitUntil } from "../../standins/cluster/waitUntil.ts";
import { KvServer } from "../../standins/platform/KvServer.ts";
import { WorkerServer } from "../../standins/platform/WorkerServer.ts";
import type { JournalRun } from "../../standins/pool/poolJournal.ts";
import { PoolWorkerModel } from "../../standins/pool/PoolWorkerModel.ts";
import { findFreeAddresses } from "../../standins/support/freePorts.ts";
import { MemoryLog } from "../support/MemoryLog.ts";
import { POOL } from "../support/poolFixtures.ts";

const WORK_MS = 150;
const TIMEOUT_MS = 10_000;
const STORE_TIMEOUT_MS = 500;
const HEARTBEAT_MS = 300;
const HOST = "jobs.example";

/** Response to a client. */
export interface ClientAnswer {
  readonly status: number;
  readonly body: Readonly<Record<string, unknown>>;
  readonly retryAfter: string | undefined;
}

/** Running entry and agent, with the stand-ins that they use. */
export interface PlatformFixture {
  readonly store: KvServer;
  readonly journal: readonly JournalRun[];
  readonly log: MemoryLog;
  readonly entry: PoolEntryProcess;
  /** The worker. */
  readonly model: PoolWorkerModel;
  /** Starts another process of the agent, at other addresses. */
  readonly startSecondAgent: () => Promise<void>;
  readonly announcements: string;
  readonly call: (method: string, path: string, body?: string) => Promise<ClientAnswer>;
  readonly getReadiness: () => Promise<number>;
  readonly waitForStatus: (path: string, status: number) => Promise<void>;
  readonly waitForState: (path: string, state: string) => Promise<void>;
}

/** A process of the agent, with its clients. */
interface Agent {
  readonly process: PoolAgentProcess;
  readonly announcements: string;
  readonly store: PlatformStore;
  readonly worker: PlatformWorker;
}

/** Operator's configuration document in the tests. */
export const MANIFEST = {
  version: 3,
  routes: [
    {
      name: "route-a",
      host: HOST,
      prefix: "/a/",
      kind: "unsafe",
      timeout_ms: 3_000,
      target_latency_ms: 250,
      priority: 0,
      service: POOL,
      max_attempts: 3,
      stretch: 1.5,
    },
  ],
  services: [{ name: POOL, admission_control: true, spare: false }],
  limits: { max_header_bytes: 16_384, max_body_bytes: 20_000 },
};

/**
 * Starts the system, and shuts it down when the test has ended.
 * @param t - Context of the test.
 */
export async function createPlatformFixture(t: ExecutionContext): Promise<PlatformFixture> {
  const [kv = "", worker = "", submissions = "", readiness = "", control = "", announcements = ""] =
    await findFreeAddresses(6);
  const store = new KvServer(kv);
  const journal: JournalRun[] = [];
  const model = createModel(journal);
  const workerServer = new WorkerServer(worker, model);
  const entryStore = new PlatformStore(kv, STORE_TIMEOUT_MS);
  await store.start();
  await workerServer.start();
  store.put("op/config", MANIFEST);
  const log = new MemoryLog();
  const entry = createEntry({ kv, submissions, readiness }, entryStore, log);
  const agents: Agent[] = [];
  const startAgent = async (control: string, announcements: string): Promise<void> => {
    const agent = createAgent({ kv, control, announcements, worker }, log);
    agents.push(agent);
    t.true((await agent.process.start()).isOk());
  };
  t.true((await entry.start()).isOk());
  await startAgent(control, announcements);
  const clock = new SystemClock();
  let timer: Timer | undefined;
  let hasEnded = false;
  const sendHeartbeats = async (): Promise<void> => {
    const sent = agents.map((agent) => workerServer.sendHeartbeat(agent.announcements));
    await Promise.allSettled(sent);
    timer = hasEnded ? undefined : clock.after(HEARTBEAT_MS, () => void sendHeartbeats());
  };
  await sendHeartbeats();
  t.teardown(async () => {
    if (!t.passed) {
      t.log(log.format());
    }
    hasEnded = true;
    timer?.cancel();
    await Promise.all([entry, ...agents.map(({ process }) => process)].map((role) => role.stop()));
    const clients = [entryStore, ...agents.flatMap(({ store, worker }) => [store, worker])];
    await Promise.all(clients.map((client) => client.close()));
    model.crash();
    await workerServer.stop();
    await store.stop();
  });
  const call = (method: string, path: string, body?: string): Promise<ClientAnswer> =>
    callEntry(submissions, method, path, body);
  const fixture: PlatformFixture = {
    store,
    journal,
    log,
    entry,
    model,
    startSecondAgent: async () => {
      const [control = "", announcements = ""] = await findFreeAddresses(2);
      await startAgent(control, announcements);
    },
    announcements,
    call,
    getReadiness: () => getReadiness(readiness),
    waitForStatus: (path, status) =>
      waitUntil(`${path} answers ${status}`, TIMEOUT_MS, async () => {
        return (await call("GET", path)).status === status;
      }),
    waitForState: (path, state) =>
      waitUntil(`${path} is ${state}`, TIMEOUT_MS, async () => {
        return (await call("GET", path)).body.state === state;
      }),
  };
  await waitUntil("the entry is ready", TIMEOUT_MS, async () => {
    return (await fixture.getReadiness()) === 200;
  });
  return fixture;
}

function createModel(journal: JournalRun[]): PoolWorkerModel {
  return new PoolWorkerModel({
    clock: new SystemClock(),
    id: "i-1",
    startedAtMs: 1_000,
    pool: POOL,
    rack: "rack-1",
    capacity: { processorsMilli: 8_000, memoryBytes: 1_048_576_000, accelerators: 0 },
    clockRate: 1,
    getRequirements: () => ({
      resources: { processorsMilli: 500, memoryBytes: 0, accelerators: 0 },
      workMs: WORK_MS,
    }),
    journal,
  });
}

function createEntry(
  addresses: {
    readonly kv: string;
    readonly submissions: string;
    readonly readiness: string;
  },
  store: PlatformStore,
  log: MemoryLog,
): PoolEntryProcess {
  const { kv, submissions, readiness } = addresses;
  const text = `[entry]\nname = entry-1\nzone = zone-a\nsubmissions = ${submissions}
readiness = ${readiness}\ndrain_ms = 100\n[store]\naddress = ${kv}\ntimeout_ms = 500\n`;
  const settings = readPoolEntrySettings("entry.ini", text)._unsafeUnwrap();
  return new PoolEntryProcess({
    settings,
    log,
    store,
    decoder: new ManifestDecoder(),
    createFrontend: (deps) => new ClientServer(settings.entry, deps),
  });
}

function createAgent(
  addresses: {
    readonly kv: string;
    readonly control: string;
    readonly announcements: string;
    readonly worker: string;
  },
  log: MemoryLog,
): Agent {
  const { kv, control, announcements, worker } = addresses;
  const clients = {
    store: new PlatformStore(kv, STORE_TIMEOUT_MS),
    worker: new PlatformWorker(worker, STORE_TIMEOUT_MS),
  };
  const text = `[agent]\nname = agent-1\nzone = zone-a\npool = ${POOL}\ncontrol = ${control}
announcements = ${announcements}\n[worker]\naddress = ${worker}\n[store]\naddress = ${kv}\n`;
  const settings = readPoolAgentSettings("agent.ini", text)._unsafeUnwrap();
  const process = new PoolAgentProcess({
    settings,
    log,
    ...clients,
    createListener: (workerAgent, log) =>
      new HeartbeatServer({
        address: announcements,
        workerAddress: worker,
        pool: POOL,
        workerAgent,
        log,
      }),
  });
  return { process, announcements, ...clients };
}

/**
 * Gets the status with which an entry says whether it is ready.
 * @param address - Its address for that.
 */
export async function getReadiness(address: string): Promise<number> {
  const { statusCode, body } = await request(`http://${address}/v1/ready`);
  await body.dump();
  return statusCode;
}

/**
 * Sends a request of a client to an entry.
 * @param address - Address of the entry.
 * @param method - Method.
 * @param path - Path.
 * @param body - Body; undefined for none.
 */
export async function callEntry(
  address: string,
  method: string,
  path: string,
  body: string | undefined,
): Promise<ClientAnswer> {
  const res = await request(`http://${address}${path}`, {
    method: method as "GET",
    headers: { host: HOST, "content-type": "application/json", "deadline-ms": "3000" },
    body: body ?? null,
  });
  return {
    status: res.statusCode,
    body: (await res.body.json()) as Readonly<Record<string, unknown>>,
    retryAfter: res.headers["retry-after"] as string | undefined,
  };
}
