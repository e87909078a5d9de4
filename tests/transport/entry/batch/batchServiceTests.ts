import { createClient, createRouterTransport } from "@connectrpc/connect";
import test from "ava";
import {
  DEFAULT_BATCH_SETTINGS,
  type BatchSettings,
} from "../../../../src/coordination/batch/BatchSettings.ts";
import { FirstFitPlacer } from "../../../../src/coordination/batch/FirstFitPlacer.ts";
import { EMPTY_DOCUMENT } from "../../../../src/protocol/config/ConfigDocument.ts";
import { AgentControl } from "../../../../src/protocol/generated/fireflylb/v1/control_pb.ts";
import { FleetView } from "../../../../src/state/FleetView.ts";
import { BatchService } from "../../../../src/transport/entry/batch/BatchService.ts";
import type { ApiReply, ApiRequest } from "../../../../src/transport/http/ApiRoute.ts";
import { MemoryStore } from "../../../../standins/store/MemoryStore.ts";
import { FakeAgents } from "../../../support/FakeAgents.ts";
import { ManualClock } from "../../../support/ManualClock.ts";
import { MemoryLog } from "../../../support/MemoryLog.ts";
import { SeededRandom } from "../../../support/SeededRandom.ts";

const CFG: BatchSettings = { ...DEFAULT_BATCH_SETTINGS, partitions: 8 };
const LEASE_MS = CFG.ownerLeaseMs;
const BODY = {
  key: "a",
  tenant: "t",
  kind: "k",
  resources: { processorsMilli: 1_000, memoryBytes: 1 },
  command: "c",
};

function createSetup() {
  const clock = new ManualClock();
  const store = new MemoryStore(clock);
  const agents = new FakeAgents(clock, [1]);
  const fleet = new FleetView();
  const transport = createRouterTransport(({ service }) => {
    service(AgentControl, {
      startTask: async (req) => {
        const { resources = { processorsMilli: 0, memoryBytes: 0, accelerators: 0 } } = req;
        const order = { ...req, resources, epoch: Number(req.epoch) };
        const outcome = await agents.startTask("vm-0", {
          ...order,
          sequence: Number(req.sequence),
        });
        return { accepted: outcome.kind === "accepted" };
      },
      stopTask: async (req) => {
        const outcome = await agents.stopTask("vm-0", { ...req, epoch: Number(req.epoch) });
        return { stopped: outcome.kind === "stopped" };
      },
    });
  });
  const createService = (name: string, through: MemoryStore): BatchService =>
    new BatchService({
      cfg: CFG,
      entry: { name, zone: "z", region: "r", control: `${name}:1`, api: `${name}:2` },
      store: through,
      clock,
      random: new SeededRandom(name.length + name.charCodeAt(0)),
      log: new MemoryLog(),
      fleet,
      placer: new FirstFitPlacer(),
      getConfig: () => ({ revision: 1, document: EMPTY_DOCUMENT }),
      createAgentClient: () => createClient(AgentControl, transport),
    });
  const startService = async (name: string, through = store): Promise<BatchService> => {
    const service = createService(name, through);
    const started = service.start();
    await clock.advance(LEASE_MS);
    await started;
    return service;
  };
  const advance = async (durationMs: number): Promise<void> => {
    for (let passed = 0; passed < durationMs; passed += CFG.commitIntervalMs) {
      fleet.apply(agents.getVm("vm-0"));
      await clock.advance(CFG.commitIntervalMs);
    }
  };
  return { clock, store, agents, startService, advance };
}

async function call(
  service: BatchService,
  method: string,
  path: string,
  req: Partial<ApiRequest> = {},
): Promise<ApiReply> {
  const route = service.getRoutes().find((known) => known.method === method && known.path === path);
  if (route === undefined) {
    throw new Error(`no route ${method} ${path}`);
  }
  return route.handle({ params: {}, query: {}, body: undefined, ...req });
}

function countOwned(services: readonly BatchService[]): readonly number[] {
  return services.map((service) => service.getOwnedPartitions().length);
}

test("BatchService runs a job from its submission to its completion", async (t) => {
  const { agents, startService, advance } = createSetup();
  const service = await startService("e1");
  const submitted = call(service, "POST", "/v1/jobs", { body: BODY });
  await advance(1_000);
  const { status, body } = await submitted;
  t.is(status, 201);
  const { id } = body as { readonly id: string };
  const [run] = agents.getRunning();
  t.is(run?.task, `${id}.0`);
  const before = await call(service, "GET", "/v1/jobs/:id", { params: { id } });
  t.is((before.body as { readonly state: string }).state, "running");
  if (run !== undefined) {
    agents.finish(run, "completed");
  }
  service.getOwnedPartitions().forEach((owner) => {
    agents.report("vm-0", owner);
  });
  await advance(1_000);
  const after = await call(service, "GET", "/v1/jobs/:id", { params: { id } });
  t.is((after.body as { readonly state: string }).state, "completed");
});

test("BatchService refuses submissions promptly during a store outage", async (t) => {
  const { store, startService, advance } = createSetup();
  const service = await startService("e1");
  store.startOutage();
  const first = call(service, "POST", "/v1/jobs", { body: BODY });
  await advance(2_000);
  const { status, body, retryAfterSeconds } = await first;
  t.is(status, 503);
  t.like(body, { code: "store-unavailable", verdict: "not-run" });
  t.truthy(retryAfterSeconds);
  store.endOutage();
  await advance(5_000);
  const second = call(service, "POST", "/v1/jobs", { body: BODY });
  await advance(1_000);
  t.is((await second).status, 201);
});

// Guards against a repetition whose refusal is taken for the fate of the first submission.
test("BatchService does not refuse a repeated submission while the first one may be recorded", async (t) => {
  const { clock, store, startService, advance } = createSetup();
  const service = await startService("e1");
  store.faults.lostAnswers = 1;
  const first = call(service, "POST", "/v1/jobs", { body: BODY });
  while (store.faults.lostAnswers > 0) {
    await clock.advance(1);
  }
  store.startOutage();
  await advance(3_000);
  t.like((await first).body, { code: "outcome-unknown", verdict: "may-have-run" });
  const repeated = call(service, "POST", "/v1/jobs", { body: BODY });
  const other = call(service, "POST", "/v1/jobs", { body: { ...BODY, key: "b" } });
  await advance(3_000);
  t.like((await repeated).body, { code: "outcome-unknown", verdict: "may-have-run" });
  t.like((await other).body, { code: "store-unavailable", verdict: "not-run" });
  store.endOutage();
  await advance(LEASE_MS);
  store.startOutage();
  await advance(LEASE_MS);
  const recorded = call(service, "POST", "/v1/jobs", { body: BODY });
  await advance(3_000);
  t.like((await recorded).body, { known: true });
});

test("BatchService reports an unknown outcome while responses of the store are lost", async (t) => {
  const { store, startService, advance } = createSetup();
  const service = await startService("e1");
  store.faults.lostAnswers = 1_000;
  const first = call(service, "POST", "/v1/jobs", { body: BODY });
  await advance(4_000);
  t.like((await first).body, { code: "outcome-unknown", verdict: "may-have-run" });
  store.faults.lostAnswers = 0;
  await advance(LEASE_MS * 3);
  const second = call(service, "POST", "/v1/jobs", { body: BODY });
  await advance(1_000);
  t.like((await second).body, { known: true });
});

test("BatchService distributes partitions evenly and hands them over when it stops", async (t) => {
  const { startService, advance } = createSetup();
  const first = await startService("e1");
  t.deepEqual(countOwned([first]), [8]);
  const second = await startService("e2");
  await advance(LEASE_MS * 4);
  t.deepEqual(countOwned([first, second]), [4, 4]);
  const stopped = first.stop();
  await advance(LEASE_MS);
  await stopped;
  await advance(LEASE_MS);
  t.deepEqual(countOwned([first, second]), [0, 8]);
  t.is(second.getOwners().length, 8);
});

test("BatchService keeps its partitions through a store outage longer than its lease", async (t) => {
  const { store, startService, advance } = createSetup();
  const service = await startService("e1");
  const epochs = service.getOwners().map((owner) => owner.epoch);
  store.startOutage();
  await advance(CFG.ownerLeaseMs * 3);
  store.endOutage();
  await advance(LEASE_MS * 2);
  t.deepEqual(
    service.getOwners().map((owner) => owner.epoch),
    epochs,
  );
  t.is((await store.list("partition-owner/"))._unsafeUnwrap().entries.length, 8);
});

test("BatchService detects that it was superseded although its owner key is free again", async (t) => {
  const { clock, store, startService, advance } = createSetup();
  const own = [0, 1].map(() => new MemoryStore(clock, store.model));
  const first = await startService("e1", own[0]);
  own[0]?.startOutage();
  await advance(LEASE_MS * 2);
  const second = await startService("e2", own[1]);
  await advance(LEASE_MS);
  t.is(second.getOwnedPartitions().length, 8);
  const submitted = call(second, "POST", "/v1/jobs", { body: BODY });
  await advance(1_000);
  const { id } = (await submitted).body as { readonly id: string };
  own[1]?.startOutage();
  own[0]?.endOutage();
  await advance(LEASE_MS * 3);
  const found = await call(first, "GET", "/v1/jobs/:id", { params: { id } });
  t.is(found.status, 200);
  t.true(first.getOwners().every((owner) => owner.epoch >= 3n));
});
