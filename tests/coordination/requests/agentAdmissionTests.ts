import test from "ava";
import { AgentAdmission } from "../../../src/coordination/requests/AgentAdmission.ts";
import type { RequestHead } from "../../../src/protocol/RequestHead.ts";
import type { ServerAnnouncement } from "../../../src/protocol/ServerAnnouncement.ts";
import { ManualClock } from "../../support/ManualClock.ts";

const SERVER: ServerAnnouncement = {
  service: "rota-desk",
  id: "server-1",
  address: "127.0.0.1:1",
  slots: 1,
  connections: 64,
  inUse: 0,
  draining: false,
  processorsMilli: 1000,
  memoryBytes: 0,
};

function createHead(request: string, overrides: Partial<RequestHead> = {}): RequestHead {
  return {
    request,
    attempt: 1,
    service: "rota-desk",
    tenant: "default",
    requestClass: "normal",
    budgetMs: 1000,
    incarnation: "now",
    sender: "entry",
    sentAt: 0,
    ...overrides,
  };
}

function createAdmission(clock: ManualClock): AgentAdmission {
  const admission = new AgentAdmission({
    clock,
    incarnation: "now",
    maxQueue: 4,
    getConfig: () => undefined,
  });
  admission.handleAnnouncement(SERVER);
  return admission;
}

/** Passes a request through arrival and queueing; returns the events that follow. */
function submit(admission: AgentAdmission, head: RequestHead): string[] {
  const events: string[] = [];
  const decision = admission.handleArrival(head);
  if (decision.kind === "refused") {
    return [`${decision.refusal.code}:${decision.refusal.verdict}`];
  }
  admission.enqueue(head, decision, {
    admit: () => events.push("admitted"),
    refuse: (refusal) => events.push(`${refusal.code}:${refusal.verdict}`),
  });
  return events;
}

test("AgentAdmission settles an unknown attempt as not run and refuses it afterwards", (t) => {
  const admission = createAdmission(new ManualClock());
  t.is(admission.settle("r1", 1, "now"), "not-run");
  t.deepEqual(submit(admission, createHead("r1")), ["duplicate-request:not-run"]);
});

test("AgentAdmission settles an attempt sent to another incarnation as may-have-run", (t) => {
  const admission = createAdmission(new ManualClock());
  t.is(admission.settle("r1", 1, "before"), "may-have-run");
});

test("AgentAdmission removes a queued attempt from its queue when it is settled", (t) => {
  const admission = createAdmission(new ManualClock());
  t.deepEqual(submit(admission, createHead("runs")), ["admitted"]);
  const waiting = submit(admission, createHead("waits"));
  t.is(admission.settle("waits", 1, "now"), "not-run");
  const [server] = admission.getServers();
  admission.recordEnd(server ?? t.fail("no server"), "runs#1", "finished");
  t.deepEqual(waiting, []);
});

test("AgentAdmission does not run an attempt that was settled while its body was arriving", (t) => {
  const admission = createAdmission(new ManualClock());
  const head = createHead("r1");
  const decision = admission.handleArrival(head);
  t.is(admission.settle("r1", 1, "now"), "not-run");
  const events: string[] = [];
  if (decision.kind === "open") {
    admission.enqueue(head, decision, {
      admit: () => events.push("admitted"),
      refuse: (refusal) => events.push(refusal.verdict),
    });
  }
  t.deepEqual(events, ["not-run"]);
});

test("AgentAdmission refuses an attempt for another incarnation, a duplicate and a delayed attempt", (t) => {
  const clock = new ManualClock();
  const admission = createAdmission(clock);
  t.deepEqual(submit(admission, createHead("r1", { incarnation: "before" })), [
    "wrong-incarnation:not-run",
  ]);
  t.deepEqual(submit(admission, createHead("r2")), ["admitted"]);
  t.deepEqual(submit(admission, createHead("r2")), ["duplicate-request:may-have-run"]);
  clock.pause(5000);
  t.deepEqual(submit(admission, createHead("r3", { sentAt: 10 })), ["deadline-exceeded:not-run"]);
});

test("AgentAdmission counts requests at the server that an earlier incarnation admitted", (t) => {
  const admission = createAdmission(new ManualClock());
  admission.handleAnnouncement({ ...SERVER, inUse: 1 });
  t.deepEqual(submit(admission, createHead("r1")), []);
  admission.handleAnnouncement({ ...SERVER, inUse: 0 });
  t.is(admission.getServers()[0]?.queue.inUse, 1);
});

test("AgentAdmission expires a server that stopped announcing itself without losing the request in flight there", async (t) => {
  const clock = new ManualClock();
  const admission = createAdmission(clock);
  submit(admission, createHead("runs"));
  await clock.advance(5000);
  t.deepEqual(admission.expireServers(3000), []);
  t.deepEqual(submit(admission, createHead("comes", { sentAt: 5000 })), ["no-server:not-run"]);
  t.is(admission.countOpenRequests(), 1);
});
