/**
 * Tests of the whole path on the users' platform, against stand-ins of their protocol.
 */
import test from "ava";
import { request } from "undici";
import { createPlatformFixture, MANIFEST } from "./PlatformFixture.ts";

const JOB = "/a/0123456789abcdef";
const STEP = { task_count: 3, cpu: 500, mem_mb: 10, estimate_ms: 150 };
const BODY = JSON.stringify({ spec: "text", steps: [STEP, { ...STEP, after: [0] }] });

test("Platform path: a job is accepted once, its steps run in order, and it is shown as completed", async (t) => {
  const bench = await createPlatformFixture(t);
  t.is((await bench.call("POST", JOB, BODY)).status, 200);
  t.is((await bench.call("POST", JOB, BODY)).status, 200);
  await bench.waitForState(JOB, "completed");
  t.is(bench.journal.length, 6);
  const [first, second] = [".0.0.", ".0.1."].map((step) =>
    bench.journal.filter(({ task }) => task.includes(step)),
  );
  const lastEnd = Math.max(...(first ?? []).map(({ endedAt }) => endedAt ?? Infinity));
  t.true((second ?? []).every(({ startedAt }) => startedAt >= lastEnd));
  t.deepEqual((await bench.call("GET", "/a/")).body, { pending: 0 });
});

test("Platform path: a cancelled job is stopped and shown so; an unknown one is gone", async (t) => {
  const bench = await createPlatformFixture(t);
  const steps = [{ ...STEP, task_count: 40 }];
  await bench.call("POST", JOB, JSON.stringify({ spec: "", steps }));
  t.is((await bench.call("DELETE", JOB)).status, 200);
  t.is((await bench.call("DELETE", JOB)).status, 200);
  await bench.waitForState(JOB, "cancelled");
  t.is((await bench.call("GET", "/a/00000000000000ff")).status, 410);
  t.is((await bench.call("DELETE", "/a/00000000000000ff")).status, 410);
  // A submission that was on its way when its job was cancelled must not run.
  await bench.call("POST", "/a/00000000000000ff", BODY);
  t.is((await bench.call("GET", "/a/00000000000000ff")).body.state, "cancelled");
  t.false(bench.journal.some(({ task }) => task.startsWith("00000000000000ff")));
});

test("Platform path: bad requests get an error that names the field, and change nothing", async (t) => {
  const bench = await createPlatformFixture(t);
  const withStep = (change: object): string =>
    JSON.stringify({ spec: "", steps: [{ ...STEP, ...change }] });
  const refused = await Promise.all([
    bench.call("POST", JOB, "{"),
    bench.call("POST", JOB, "{}"),
    bench.call("POST", JOB, JSON.stringify({ spec: "x".repeat(4_001), steps: [STEP] })),
    bench.call("POST", JOB, withStep({ task_count: 0 })),
    bench.call("POST", JOB, withStep({ after: [0] })),
    bench.call("POST", "/a/xyz", BODY),
  ]);
  t.deepEqual(
    refused.map(({ status }) => status),
    [400, 400, 400, 400, 400, 400],
  );
  t.regex(JSON.stringify(refused[1].body), /spec|steps/);
  t.regex(JSON.stringify(refused[3].body), /task_count/);
  t.is((await bench.call("POST", JOB, "x".repeat(30_000))).status, 413);
  t.is((await bench.call("POST", "/unknown/0123456789abcdef", BODY)).status, 404);
  t.is((await bench.call("GET", JOB)).status, 410);
});

test("Platform path: queues come and go with the configuration, and never go back", async (t) => {
  const bench = await createPlatformFixture(t);
  const [route] = MANIFEST.routes;
  const added = { ...route, name: "route-b", prefix: "/b/" };
  bench.store.put("op/config", { ...MANIFEST, version: 9, routes: [added] });
  await bench.waitForStatus("/b/", 200);
  t.is((await bench.call("GET", "/a/")).status, 404);
  bench.store.put("op/config", { ...MANIFEST, version: 5 });
  bench.store.put("op/config", { version: "x" });
  t.is((await bench.call("GET", "/a/")).status, 404);
});

test("Platform path: without the store a job is refused at once, with when to come back", async (t) => {
  const bench = await createPlatformFixture(t);
  bench.store.faults.refuseStatus = 503;
  const refused = await bench.call("POST", JOB, BODY);
  t.is(refused.status, 503);
  t.is(refused.retryAfter, "1");
  bench.store.faults.refuseStatus = 0;
  t.is((await bench.call("POST", JOB, BODY)).status, 200);
  await bench.waitForState(JOB, "completed");
});

test("Platform path: a job whose answer from the store was lost is accepted once", async (t) => {
  const bench = await createPlatformFixture(t);
  bench.store.faults.lostAnswers = 1;
  t.is((await bench.call("POST", JOB, BODY)).status, 200);
  await bench.waitForState(JOB, "completed");
  t.is(bench.journal.length, 6);
});

test("Platform path: heartbeats of another writer are refused and change nothing", async (t) => {
  const bench = await createPlatformFixture(t);
  const send = async (body: string): Promise<number> => {
    const res = await request(`http://${bench.announcements}/v1/instances/i-9`, {
      method: "PUT",
      body,
    });
    await res.body.dump();
    return res.statusCode;
  };
  t.is(await send("{"), 400);
  t.is(await send("{}"), 400);
  t.is(await send(JSON.stringify({ service: 7 })), 400);
  await bench.call("POST", JOB, BODY);
  await bench.waitForState(JOB, "completed");
});
