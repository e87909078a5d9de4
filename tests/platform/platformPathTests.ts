/**
 * End-to-end tests of the users' platform, with stand-ins that implement its protocol.
 */
import test from "ava";
import { request } from "undici";
import { createPlatformFixture, MANIFEST } from "./PlatformFixture.ts";

const JOB = "/a/0123456789abcdef";
const STEP = { task_count: 3, cpu: 500, mem_mb: 10, estimate_ms: 150 };
const BODY = JSON.stringify({ spec: "text", steps: [STEP, { ...STEP, after: [0] }] });

test("Platform path: a job is accepted once, its steps run in order, and its state becomes completed", async (t) => {
  const fixture = await createPlatformFixture(t);
  t.is((await fixture.call("POST", JOB, BODY)).status, 200);
  t.is((await fixture.call("POST", JOB, BODY)).status, 200);
  await fixture.waitForState(JOB, "completed");
  t.is(fixture.journal.length, 6);
  const [first, second] = [".0.0.", ".0.1."].map((step) =>
    fixture.journal.filter(({ task }) => task.includes(step)),
  );
  const lastEnd = Math.max(...(first ?? []).map(({ endedAt }) => endedAt ?? Infinity));
  t.true((second ?? []).every(({ startedAt }) => startedAt >= lastEnd));
  t.deepEqual((await fixture.call("GET", "/a/")).body, { pending: 0 });
});

test("Platform path: a cancelled job is stopped and its state becomes cancelled; an unknown job answers 410", async (t) => {
  const fixture = await createPlatformFixture(t);
  const steps = [{ ...STEP, task_count: 40 }];
  await fixture.call("POST", JOB, JSON.stringify({ spec: "", steps }));
  t.is((await fixture.call("DELETE", JOB)).status, 200);
  t.is((await fixture.call("DELETE", JOB)).status, 200);
  await fixture.waitForState(JOB, "cancelled");
  t.is((await fixture.call("GET", "/a/00000000000000ff")).status, 410);
  t.is((await fixture.call("DELETE", "/a/00000000000000ff")).status, 410);
  // A submission that arrives after the cancellation of its job must not run.
  await fixture.call("POST", "/a/00000000000000ff", BODY);
  t.is((await fixture.call("GET", "/a/00000000000000ff")).body.state, "cancelled");
  t.false(fixture.journal.some(({ task }) => task.startsWith("00000000000000ff")));
});

test("Platform path: invalid requests are rejected with an error that names the field, and create no job", async (t) => {
  const fixture = await createPlatformFixture(t);
  const withStep = (overrides: object): string =>
    JSON.stringify({ spec: "", steps: [{ ...STEP, ...overrides }] });
  const refused = await Promise.all([
    fixture.call("POST", JOB, "{"),
    fixture.call("POST", JOB, "{}"),
    fixture.call("POST", JOB, JSON.stringify({ spec: "x".repeat(4_001), steps: [STEP] })),
    fixture.call("POST", JOB, withStep({ task_count: 0 })),
    fixture.call("POST", JOB, withStep({ after: [0] })),
    fixture.call("POST", "/a/xyz", BODY),
  ]);
  t.deepEqual(
    refused.map(({ status }) => status),
    [400, 400, 400, 400, 400, 400],
  );
  t.regex(JSON.stringify(refused[1].body), /spec|steps/);
  t.regex(JSON.stringify(refused[3].body), /task_count/);
  t.is((await fixture.call("POST", JOB, "x".repeat(30_000))).status, 413);
  t.is((await fixture.call("POST", "/unknown/0123456789abcdef", BODY)).status, 404);
  t.is((await fixture.call("GET", JOB)).status, 410);
});

test("Platform path: queues are added and removed with the configuration, and an older or malformed document is ignored", async (t) => {
  const fixture = await createPlatformFixture(t);
  const [route] = MANIFEST.routes;
  const added = { ...route, name: "route-b", prefix: "/b/" };
  fixture.store.put("op/config", { ...MANIFEST, version: 9, routes: [added] });
  await fixture.waitForStatus("/b/", 200);
  t.is((await fixture.call("GET", "/a/")).status, 404);
  fixture.store.put("op/config", { ...MANIFEST, version: 5 });
  fixture.store.put("op/config", { version: "x" });
  t.is((await fixture.call("GET", "/a/")).status, 404);
});

// Guards against an accepted job that its client can neither find nor submit again after a new document.
test("Platform path: a job is found after its queue has got another name", async (t) => {
  const fixture = await createPlatformFixture(t);
  t.is((await fixture.call("POST", JOB, BODY)).status, 200);
  const [route] = MANIFEST.routes;
  const renamed = { ...route, name: "route-c" };
  const added = { ...route, prefix: "/b/" };
  fixture.store.put("op/config", { ...MANIFEST, version: 9, routes: [renamed, added] });
  await fixture.waitForStatus("/b/", 200);
  t.is((await fixture.call("POST", JOB, BODY)).status, 200);
  t.is((await fixture.call("GET", JOB.replace("/a/", "/b/"))).status, 410);
  await fixture.waitForState(JOB, "completed");
  t.is((await fixture.call("DELETE", JOB)).status, 200);
});

test("Platform path: a job is refused at once with a retry-after header while the store is unavailable", async (t) => {
  const fixture = await createPlatformFixture(t);
  fixture.store.faults.refuseStatus = 503;
  const refused = await fixture.call("POST", JOB, BODY);
  t.is(refused.status, 503);
  t.is(refused.retryAfter, "1");
  fixture.store.faults.refuseStatus = 0;
  t.is((await fixture.call("POST", JOB, BODY)).status, 200);
  await fixture.waitForState(JOB, "completed");
});

test("Platform path: a job is accepted once although the response of the store is lost", async (t) => {
  const fixture = await createPlatformFixture(t);
  fixture.store.faults.lostAnswers = 1;
  t.is((await fixture.call("POST", JOB, BODY)).status, 200);
  await fixture.waitForState(JOB, "completed");
  t.is(fixture.journal.length, 6);
});

test("Platform path: malformed heartbeats are rejected and change nothing", async (t) => {
  const fixture = await createPlatformFixture(t);
  const send = async (body: string): Promise<number> => {
    const res = await request(`http://${fixture.announcements}/v1/instances/i-9`, {
      method: "PUT",
      body,
    });
    await res.body.dump();
    return res.statusCode;
  };
  t.is(await send("{"), 400);
  t.is(await send("{}"), 400);
  t.is(await send(JSON.stringify({ service: 7 })), 400);
  await fixture.call("POST", JOB, BODY);
  await fixture.waitForState(JOB, "completed");
});
