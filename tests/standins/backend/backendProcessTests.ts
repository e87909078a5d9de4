/**
 * Tests of the backend server stand-in.
 */
import test from "ava";
import type { ExecutionContext } from "ava";
import { request } from "undici";
import { BackendProcess } from "../../../standins/backend/BackendProcess.ts";
import type { BackendEvent } from "../../../standins/backend/BackendJournal.ts";
import { getPattern } from "../../../standins/backend/streams.ts";
import { findFreeAddresses } from "../../../standins/support/freePorts.ts";
import { createReply, JsonServer } from "../../../standins/support/JsonServer.ts";
import { MachineClock } from "../../../standins/support/MachineClock.ts";
import { serverAnnouncementSchema } from "../../../src/protocol/ServerAnnouncement.ts";
import type { ServerAnnouncement } from "../../../src/protocol/ServerAnnouncement.ts";

interface Fixture {
  readonly backend: BackendProcess;
  readonly url: string;
  readonly setFaults: (faults: Readonly<Record<string, unknown>>) => Promise<void>;
  readonly getJournal: () => Promise<readonly BackendEvent[]>;
  /** Waits for an announcement that fulfils a condition. */
  readonly waitForAnnouncement: (
    matches: (announcement: ServerAnnouncement) => boolean,
  ) => Promise<void>;
}

async function createFixture(t: ExecutionContext, serviceTimes = "fixed 0"): Promise<Fixture> {
  const [listen = "", control = "", agent = "", worker = ""] = await findFreeAddresses(4);
  const waiting: ((announcement: ServerAnnouncement) => void)[] = [];
  const agentServer = new JsonServer(agent, (req) => {
    t.is(`${req.method} ${req.path}`, "PUT /v1/servers/s1");
    const announcement = serverAnnouncementSchema.parse(req.body);
    waiting.forEach((check) => {
      check(announcement);
    });
    return createReply({});
  });
  await agentServer.start();
  const backend = new BackendProcess(new MachineClock(), {
    listen,
    control,
    agent,
    worker,
    service: "rota-desk",
    id: "s1",
    slots: 8,
    connections: 64,
    processorsMilli: 1_000,
    memoryBytes: 1_000,
    serviceTimes,
    seed: 1,
    drainMs: 0,
    journal: undefined,
  });
  const waitForAnnouncement = async (matches: (a: ServerAnnouncement) => boolean): Promise<void> =>
    new Promise((resolve) => {
      waiting.push((announcement) => {
        if (matches(announcement)) {
          resolve();
        }
      });
    });
  const first = waitForAnnouncement(() => true);
  await backend.start();
  await first;
  t.teardown(async () => {
    await backend.stop();
    await agentServer.stop();
  });
  return {
    backend,
    url: `http://${listen}`,
    waitForAnnouncement,
    setFaults: async (faults) => {
      const body = JSON.stringify(faults);
      const res = await request(`http://${control}/faults`, { method: "PUT", body });
      t.is(res.statusCode, 200, await res.body.text());
    },
    getJournal: async () => {
      const { body } = await request(`http://${control}/journal`);
      return (await body.json()) as readonly BackendEvent[];
    },
  };
}

test("BackendProcess returns what it received and records the request", async (t) => {
  const { url, getJournal } = await createFixture(t);
  const { statusCode, body } = await request(`${url}/swap?a=1`, {
    method: "POST",
    headers: { "fireflylb-request-id": "r1", "fireflylb-attempt": "2" },
    body: "hello",
  });
  t.is(statusCode, 200);
  t.like(await body.json(), {
    method: "POST",
    path: "/swap?a=1",
    bodyBytes: 5,
    bodySha256: "2cf24dba5fb0a30e26e83b2ac5b9e29e1b161e5c1fa7425e73043362938b9824",
    requestId: "r1",
    attempt: "2",
  });
  const journal = await getJournal();
  t.like(journal[0], { event: "request-start", requestId: "r1", inUse: 1, draining: false });
  t.like(journal[1], { event: "request-end", requestId: "r1", outcome: "answered" });
});

test("BackendProcess streams request and response bodies", async (t) => {
  const { url } = await createFixture(t);
  const stream = await request(`${url}/stream?bytes=200000`);
  const bytes = Buffer.from(await stream.body.arrayBuffer());
  t.is(bytes.length, 200_000);
  t.true(bytes.subarray(131_072, 150_000).equals(getPattern(131_072, 18_928)));
  const echo = await request(`${url}/echo`, { method: "POST", body: bytes });
  t.true(Buffer.from(await echo.body.arrayBuffer()).equals(bytes));
});

test("BackendProcess fails requests and truncates or omits responses when its faults are set", async (t) => {
  const { url, setFaults, getJournal } = await createFixture(t);
  await setFaults({ failFast: true });
  const failed = await request(url);
  t.is(failed.statusCode, 500);
  await failed.body.dump();
  await setFaults({ failFast: false, truncate: true });
  const truncated = await request(`${url}/stream?bytes=100000`);
  await t.throwsAsync(truncated.body.text());
  await setFaults({ truncate: false, cutAnswers: true });
  await t.throwsAsync(request(url));
  const ends = (await getJournal()).filter((entry) => entry.event === "request-end");
  t.deepEqual(
    ends.map((entry) => entry.outcome),
    ["failed", "truncated", "cut"],
  );
});

test("BackendProcess completes requests in flight before it shuts down", async (t) => {
  const { backend, url, waitForAnnouncement } = await createFixture(t, "fixed 1500");
  const running = waitForAnnouncement((announcement) => announcement.inUse === 1);
  const drained = waitForAnnouncement((announcement) => announcement.draining);
  const res = request(url);
  await running;
  const down = backend.shutDown();
  await drained;
  t.is((await res).statusCode, 200);
  t.like(await (await res).body.json(), { id: "s1" });
  await down;
  await t.throwsAsync(request(url));
});
