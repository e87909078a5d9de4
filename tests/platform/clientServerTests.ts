/**
 * Tests of the time that the server for clients grants to the handling of a request.
 */
import test, { type ExecutionContext } from "ava";
import { request } from "undici";
import { ClientServer } from "../../platform/ClientServer.ts";
import { ManifestDecoder } from "../../platform/manifest.ts";
import { QueueRegistry } from "../../src/coordination/pool/QueueRegistry.ts";
import { StoreSilenceMonitor } from "../../src/coordination/pool/StoreSilenceMonitor.ts";
import {
  SubmissionService,
  type PhaseOutcome,
} from "../../src/coordination/pool/SubmissionService.ts";
import type { QueueConfig } from "../../src/protocol/pool/QueueConfig.ts";
import { waitUntil } from "../../src/protocol/platform/waitUntil.ts";
import { JobCatalog } from "../../src/state/pool/JobCatalog.ts";
import { SystemClock } from "../../src/transport/platform/SystemClock.ts";
import { MemoryStore } from "../../standins/store/MemoryStore.ts";
import { findFreeAddresses } from "../../standins/support/freePorts.ts";
import { MemoryLog } from "../support/MemoryLog.ts";
import { MANIFEST } from "./PlatformFixture.ts";

/** Time that the server reserves for sending a response, in milliseconds. */
const RESPONSE_MARGIN_MS = 150;

/** Service that records the deadlines of the queries that it receives. */
class RecordingService extends SubmissionService {
  readonly deadlines: number[] = [];

  override async getPhase(queue: QueueConfig, id: string, deadline: number): Promise<PhaseOutcome> {
    this.deadlines.push(deadline);
    return super.getPhase(queue, id, deadline);
  }
}

function createService(clock: SystemClock): RecordingService {
  const ignore = (): void => undefined;
  const shared = { store: new MemoryStore(clock), clock, log: new MemoryLog() };
  return new RecordingService({
    ...shared,
    silenceMonitor: new StoreSilenceMonitor(shared),
    catalog: new JobCatalog({ onAccepted: ignore, onCancelled: ignore, onUnreadable: ignore }),
    getPools: () => [],
    getTimeOfDay: Date.now,
  });
}

async function getDeadline(t: ExecutionContext, waitMs: number, clock: SystemClock) {
  const [submissions = "", readiness = ""] = await findFreeAddresses(2);
  const log = new MemoryLog();
  const queues = new QueueRegistry(new ManifestDecoder(), log, () => undefined);
  queues.apply([{ key: "op/config", value: JSON.stringify(MANIFEST), revision: 1 }]);
  const service = createService(clock);
  const deps = { submissions: service, queues, clock, log, isReady: () => true };
  const server = new ClientServer({ submissions, readiness }, deps);
  t.true((await server.listen()).isOk());
  const { body } = await request(`http://${submissions}/a/0123456789abcdef`, {
    headers: { host: "jobs.example", "deadline-ms": String(waitMs) },
  });
  await body.dump();
  await server.close();
  return service.deadlines.at(0) ?? Number.NaN;
}

// Guards against queries without a deadline, whose clients get no response in time.
test("ClientServer gives a query the client's deadline, less the time for sending the response", async (t) => {
  const clock = new SystemClock();
  const sentAt = clock.now();
  const deadline = await getDeadline(t, 2_000, clock);
  t.true(deadline >= sentAt + 2_000 - RESPONSE_MARGIN_MS);
  t.true(deadline <= clock.now() + 2_000 - RESPONSE_MARGIN_MS);
});

// Guards against a margin that leaves a client with little time no response but a failure.
test("ClientServer leaves a client with little time at least half of it", async (t) => {
  const clock = new SystemClock();
  const sentAt = clock.now();
  const deadline = await getDeadline(t, 100, clock);
  t.true(deadline >= sentAt + 50);
  t.true(deadline <= clock.now() + 50);
});

// Guards against a client that is told at once that there is no response in time, because it would
// wait for longer than a timer can.
test("ClientServer serves a client that waits for longer than a timer can", async (t) => {
  const clock = new SystemClock();
  const never = Promise.withResolvers<string>();
  for (const waitMs of [1e308, 2 ** 53, 2 ** 31, 2 ** 32 + 1]) {
    const deadline = await getDeadline(t, waitMs, clock);
    const waited = waitUntil(clock, deadline, never.promise);
    const served = waitUntil(
      clock,
      clock.now() + 50,
      clock.sleep(20).then(() => "served"),
    );
    t.is(await Promise.race([waited, served]), "served", String(waitMs));
  }
  never.resolve("ended");
});
