import test from "ava";
import { RoundRobinPicker } from "../../../src/coordination/requests/pickers/RoundRobinPicker.ts";
import {
  RequestRouter,
  type AttemptOutcome,
  type RouteStep,
} from "../../../src/coordination/requests/RequestRouter.ts";
import { ServerTable } from "../../../src/coordination/requests/ServerTable.ts";
import { ManualClock } from "../../support/ManualClock.ts";
import { SeededRandom } from "../../support/SeededRandom.ts";
import { createVm } from "../../support/createVm.ts";

const SERVERS = 4;
const NOT_RUN: AttemptOutcome = { verdict: "not-run", code: "draining", detail: "" };
const MAY_HAVE_RUN: AttemptOutcome = {
  verdict: "may-have-run",
  code: "upstream-failed",
  detail: "",
};
const OVERLOADED: AttemptOutcome = { verdict: "not-run", code: "overloaded", detail: "" };

function createRouter(clock: ManualClock): { router: RequestRouter; table: ServerTable } {
  const table = new ServerTable();
  Array.from({ length: SERVERS }, (_, index) => createVm(`vm-${index}`)).forEach((vm) => {
    table.handleReport(vm);
  });
  const picker = new RoundRobinPicker();
  return {
    router: new RequestRouter({
      clock,
      table,
      picker,
      random: new SeededRandom(1),
      zone: "zone-1",
      retryPercent: 10,
    }),
    table,
  };
}

function describe(step: RouteStep): string {
  return step.kind === "send" ? "send" : `${step.refusal.code}:${step.refusal.verdict}`;
}

test("RequestRouter retries an attempt that has not run on another server", (t) => {
  const { router } = createRouter(new ManualClock());
  const req = { service: "rota-desk", idempotent: false, deadline: 1000 };
  const progress = RequestRouter.createProgress();
  const steps = [router.routeFirst(req, progress), router.routeNext(req, progress, NOT_RUN)];
  const servers = steps.map((step) => (step.kind === "send" ? step.server.id : "none"));
  t.is(new Set(servers).size, 2);
});

test("RequestRouter never retries a request that may have run unless it is idempotent", (t) => {
  const { router } = createRouter(new ManualClock());
  const req = { service: "rota-desk", idempotent: false, deadline: 1000 };
  const progress = RequestRouter.createProgress();
  router.routeFirst(req, progress);
  t.is(describe(router.routeNext(req, progress, MAY_HAVE_RUN)), "upstream-failed:may-have-run");
  const repeatable = { ...req, idempotent: true };
  const again = RequestRouter.createProgress();
  router.routeFirst(repeatable, again);
  t.is(describe(router.routeNext(repeatable, again, MAY_HAVE_RUN)), "send");
  t.is(describe(router.routeNext(repeatable, again, OVERLOADED)), "send");
});

test("RequestRouter keeps the verdict may-have-run when a later attempt has not run", (t) => {
  const { router } = createRouter(new ManualClock());
  const req = { service: "rota-desk", idempotent: true, deadline: 1000 };
  const progress = RequestRouter.createProgress();
  router.routeFirst(req, progress);
  router.routeNext(req, progress, MAY_HAVE_RUN);
  router.routeNext(req, progress, OVERLOADED);
  t.is(describe(router.routeNext(req, progress, OVERLOADED)), "overloaded:may-have-run");
});

test("RequestRouter consumes the retry budget only for attempts that add load, not for unreachable servers", (t) => {
  const { router } = createRouter(new ManualClock());
  const req = { service: "rota-desk", idempotent: true, deadline: 1000 };
  const repeat = (outcome: AttemptOutcome): string => {
    const progress = RequestRouter.createProgress();
    router.routeFirst(req, progress);
    return describe(router.routeNext(req, progress, outcome));
  };
  const unreachable = Array.from({ length: 50 }, () => repeat(NOT_RUN));
  t.true(unreachable.every((step) => step === "send"));
  const failing = Array.from({ length: 50 }, () => repeat(MAY_HAVE_RUN));
  t.true(failing.includes("upstream-failed:may-have-run"));
});

test("RequestRouter stops retrying a saturated service after two overload refusals", (t) => {
  const { router } = createRouter(new ManualClock());
  const req = { service: "rota-desk", idempotent: true, deadline: 1000 };
  const progress = RequestRouter.createProgress();
  router.routeFirst(req, progress);
  t.is(describe(router.routeNext(req, progress, OVERLOADED)), "send");
  t.is(describe(router.routeNext(req, progress, OVERLOADED)), "overloaded:not-run");
});

test("RequestRouter sends nothing to draining servers and replies immediately", (t) => {
  const { router, table } = createRouter(new ManualClock());
  Array.from({ length: SERVERS }, (_, index) =>
    createVm(`vm-${index}`, { draining: true, sequence: 2 }),
  ).forEach((vm) => {
    table.handleReport(vm);
  });
  const req = { service: "rota-desk", idempotent: true, deadline: 1000 };
  t.is(describe(router.routeFirst(req, RequestRouter.createProgress())), "no-server:not-run");
});

test("RequestRouter excludes a server that fails fast, but never more than half of the servers", (t) => {
  const clock = new ManualClock();
  const { router, table } = createRouter(clock);
  const servers = table.getServers("rota-desk");
  const failing = servers[0]?.id;
  Array.from({ length: 5 }).forEach(() => servers[0]?.ejector.recordFailure(0));
  const req = { service: "rota-desk", idempotent: true, deadline: 1000 };
  const chosen = Array.from({ length: 12 }, () => {
    const step = router.routeFirst(req, RequestRouter.createProgress());
    return step.kind === "send" ? step.server.id : "none";
  });
  t.false(chosen.includes(failing ?? ""));
  servers.forEach((server) => {
    Array.from({ length: 5 }).forEach(() => {
      server.ejector.recordFailure(0);
    });
  });
  t.is(describe(router.routeFirst(req, RequestRouter.createProgress())), "send");
});
