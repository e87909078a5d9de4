import test from "ava";
import { ActiveConfig } from "../../../src/coordination/config/ActiveConfig.ts";
import { ConfigRoutes } from "../../../src/transport/config/ConfigRoutes.ts";
import { ConfigWriter } from "../../../src/transport/config/ConfigWriter.ts";
import type { ApiReply } from "../../../src/transport/http/ApiRoute.ts";
import { MemoryStore } from "../../../standins/store/MemoryStore.ts";
import { createChange, createHeatOperation } from "../../support/configSamples.ts";
import { ManualClock } from "../../support/ManualClock.ts";
import { MemoryLog } from "../../support/MemoryLog.ts";
import { SeededRandom } from "../../support/SeededRandom.ts";

function createSetup() {
  const clock = new ManualClock();
  const store = new MemoryStore(clock);
  const activeConfig = new ActiveConfig();
  const writer = new ConfigWriter({
    store,
    activeConfig,
    clock,
    random: new SeededRandom(4),
    log: new MemoryLog(),
    getTimeOfDay: () => "2026-01-01T00:00:00.000Z",
  });
  const agent = { role: "agent", name: "rota-1", zone: "a", revision: 1, ageMs: 10 } as const;
  const routes = new ConfigRoutes({
    activeConfig,
    writer,
    getProcesses: () => [agent],
  }).getRoutes();
  const call = async (
    name: string,
    input: { body?: unknown; query?: Record<string, string>; id?: string } = {},
  ): Promise<ApiReply> => {
    const route = routes.find(({ method, path }) => `${method} ${path}` === name);
    const params = { id: input.id ?? "" };
    const reply = route?.handle({ params, query: input.query ?? {}, body: input.body });
    await clock.advance(10_000);
    return reply ?? { status: 0, body: undefined };
  };
  const change = (id: string, level: number, base?: number) =>
    call("POST /v1/config/changes", {
      body: createChange(id, [createHeatOperation("a", level)], base),
    });
  return { call, change, store };
}

test("ConfigRoutes refuses to serve a configuration before one is known", async (t) => {
  const reply = await createSetup().call("GET /v1/config");
  t.like(reply, { status: 503, body: { code: "no-configuration" }, retryAfterSeconds: 2 });
});

test("ConfigRoutes serves documents, differences and the history of changes", async (t) => {
  const { call, change } = createSetup();
  t.like(await change("change-1", 1), { status: 200, body: { kind: "accepted", revision: 1 } });
  t.like(await change("change-2", 2), { status: 200, body: { revision: 2 } });
  t.like(await call("GET /v1/config"), { body: { revision: 2 } });
  const old = await call("GET /v1/config", { query: { revision: "1" } });
  t.like(old, { body: { document: { heatLevels: { a: 1 } } } });
  t.is((await call("GET /v1/config", { query: { revision: "3" } })).status, 404);
  const query = { from: "1", to: "2" };
  const expected = [{ section: "heatLevels", key: "a", before: 1, after: 2 }];
  t.like(await call("GET /v1/config/differences", { query }), { body: { differences: expected } });
  t.like(await call("GET /v1/config/history"), { body: { revision: 2, horizon: 0 } });
  t.like(await call("GET /v1/config/coverage"), { body: { complete: false, holding: 0 } });
});

test("ConfigRoutes maps outcomes to HTTP statuses", async (t) => {
  const { call, change, store } = createSetup();
  await change("change-1", 1);
  t.is((await change("change-2", 2, 0)).status, 409);
  t.is((await call("POST /v1/config/changes", { body: {} })).status, 400);
  const known = await call("GET /v1/config/changes/:id", { id: "change-1" });
  t.like(known, { status: 200, body: { kind: "accepted", revision: 1 } });
  const missing = await call("GET /v1/config/changes/:id", { id: "change-9" });
  t.like(missing, { status: 200, body: { kind: "unknown" } });
  const settled = await call("POST /v1/config/changes/:id/settle", { id: "change-9" });
  t.like(settled, { status: 409, body: { kind: "refused", reason: "barred" } });
  store.startOutage();
  t.like(await change("change-3", 3), { status: 503, retryAfterSeconds: 2 });
  t.is((await call("GET /v1/config/history")).status, 503);
});
