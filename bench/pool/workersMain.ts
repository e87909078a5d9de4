/**
 * Process of the pool benchmark that runs agents with worker stand-ins. It is started with the
 * store's address, the number of the first worker and their addresses, three for each worker, and
 * sends a message for the first start of each job.
 */
import { HeartbeatServer } from "../../platform/HeartbeatServer.ts";
import { PlatformStore } from "../../platform/PlatformStore.ts";
import { PlatformWorker } from "../../platform/PlatformWorker.ts";
import { readPoolAgentSettings } from "../../src/protocol/settings/PoolAgentSettings.ts";
import { PinoLog } from "../../src/transport/log/PinoLog.ts";
import { SystemClock } from "../../src/transport/platform/SystemClock.ts";
import { PoolAgentProcess } from "../../src/transport/pool/PoolAgentProcess.ts";
import { WorkerServer } from "../../standins/platform/WorkerServer.ts";
import type { JournalRun } from "../../standins/pool/poolJournal.ts";
import { PoolWorkerModel } from "../../standins/pool/PoolWorkerModel.ts";
import { getRequirements } from "./jobKinds.ts";
import type { FirstStart } from "./messages.ts";

const HEARTBEAT_MS = 1_100;
const STORE_TIMEOUT_MS = 1_000;
const WORKERS_PER_RACK = 8;
const ADDRESSES_PER_WORKER = 3;
const CAPACITY = { processorsMilli: 32_000, memoryBytes: 134_217_728_000, accelerators: 0 };

const [kv = "", first = "0", ...addresses] = process.argv.slice(2);
const startedJobs = new Set<string>();

/** Reports the first start of each job instead of keeping a journal. */
class FirstStartJournal extends Array<JournalRun> {
  override push(...runs: readonly JournalRun[]): number {
    runs.forEach(({ task }) => {
      const job = task.split(".")[0] ?? "";
      if (!startedJobs.has(job)) {
        startedJobs.add(job);
        process.send?.({ job, startedAtMs: Date.now() } satisfies FirstStart);
      }
    });
    return this.length;
  }
}

async function startWorker(number: number, own: readonly string[]): Promise<void> {
  const [control = "", announcements = "", address = ""] = own;
  const model = new PoolWorkerModel({
    ...{ clock: new SystemClock(), id: `i-${number}`, startedAtMs: 1_000, pool: "pool" },
    ...{ rack: `rack-${Math.floor(number / WORKERS_PER_RACK)}`, capacity: CAPACITY, clockRate: 1 },
    ...{ getRequirements, journal: new FirstStartJournal() },
  });
  const server = new WorkerServer(address, model);
  await server.start();
  const text = `[agent]\nname = agent-${number}\nzone = zone-a\npool = pool\ncontrol = ${control}
announcements = ${announcements}\n[worker]\naddress = ${address}\n[store]\naddress = ${kv}\n`;
  const settings = readPoolAgentSettings("agent.ini", text)._unsafeUnwrap();
  const agent = new PoolAgentProcess({
    settings,
    log: PinoLog.create("error", `agent-${number}`),
    store: new PlatformStore(kv, STORE_TIMEOUT_MS),
    worker: new PlatformWorker(address, STORE_TIMEOUT_MS),
    createListener: (workerAgent, log) =>
      new HeartbeatServer({
        ...{ address: announcements, workerAddress: address, pool: "pool" },
        ...{ workerAgent, log },
      }),
  });
  (await agent.start())._unsafeUnwrap();
  setInterval(() => {
    server.sendHeartbeat(announcements).catch(() => undefined);
  }, HEARTBEAT_MS);
}

process.on("disconnect", () => process.exit(0));
const starts = Array.from({ length: addresses.length / ADDRESSES_PER_WORKER }, (_, i) => {
  const own = addresses.slice(i * ADDRESSES_PER_WORKER, (i + 1) * ADDRESSES_PER_WORKER);
  return startWorker(Number(first) + i, own);
});
await Promise.all(starts);
process.send?.("ready");
