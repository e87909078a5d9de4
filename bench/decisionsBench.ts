/**
 * Measures the processor time of the decisions on one request: the choice of a server at the entry
 * and the admission at the agent.
 */
import { AgentAdmission } from "../src/coordination/requests/AgentAdmission.ts";
import { LeastLatencyPicker } from "../src/coordination/requests/pickers/LeastLatencyPicker.ts";
import { RequestRouter } from "../src/coordination/requests/RequestRouter.ts";
import { ServerTable } from "../src/coordination/requests/ServerTable.ts";
import { createVm } from "../tests/support/createVm.ts";
import { SeededRandom } from "../tests/support/SeededRandom.ts";
import { Bench, type BenchContext } from "./Bench.ts";
import { VirtualClock } from "./support/VirtualClock.ts";

const SERVER_COUNTS: readonly number[] = [11, 500, 4_200];
const REQUESTS = 200_000;
const WARM_UP = 20_000;
const US_PER_MS = 1_000;
const SERVICE = "rota-desk";

/** Benchmark of the decisions on requests. */
export default class DecisionsBench extends Bench {
  override readonly name = "decisions";
  override readonly title = "Processor time of decisions on requests";

  override async run(ctx: BenchContext): Promise<void> {
    SERVER_COUNTS.forEach((servers) => {
      const us = measure(createRoutingStep(servers, ctx.seed), REQUESTS * ctx.scale);
      const labels = { decision: "route", servers: String(servers) };
      ctx.emit({ name: "time of a decision", unit: "us", value: us, labels });
    });
    const us = measure(createAdmissionStep(), REQUESTS * ctx.scale);
    const labels = { decision: "admit", servers: "1" };
    ctx.emit({ name: "time of a decision", unit: "us", value: us, labels });
    await Promise.resolve();
  }
}

function measure(step: () => void, count: number): number {
  Array.from({ length: WARM_UP }).forEach(step);
  const startedAt = performance.now();
  for (let call = 0; call < count; call += 1) {
    step();
  }
  return ((performance.now() - startedAt) * US_PER_MS) / count;
}

function createRoutingStep(servers: number, seed: number): () => void {
  const clock = new VirtualClock();
  const random = new SeededRandom(seed);
  const table = new ServerTable();
  Array.from({ length: servers }).forEach((_, index) => {
    table.handleReport(createVm(`vm-${index}`, { zone: `zone-${index % 3}` }));
  });
  const picker = new LeastLatencyPicker(random);
  const router = new RequestRouter({
    clock,
    table,
    picker,
    random,
    zone: "zone-0",
    retryPercent: 10,
  });
  const req = { service: SERVICE, idempotent: false, deadline: Number.MAX_SAFE_INTEGER };
  return () => {
    const step = router.routeFirst(req, RequestRouter.createProgress());
    if (step.kind === "send") {
      step.server.recordSent();
      step.server.recordEnd();
      step.server.recordLatency(5 + random.next());
      step.server.ejector.recordSuccess(0);
    }
  };
}

function createAdmissionStep(): () => void {
  const clock = new VirtualClock();
  const admission = new AgentAdmission({
    clock,
    incarnation: "one",
    maxQueue: 64,
    getConfig: () => undefined,
  });
  admission.handleAnnouncement({
    service: SERVICE,
    id: "server",
    address: "127.0.0.1:1",
    slots: 8,
    connections: 64,
    inUse: 0,
    draining: false,
    processorsMilli: 0,
    memoryBytes: 0,
  });
  let next = 0;
  return () => {
    next += 1;
    clock.runUntil(next);
    const head = {
      request: String(next),
      attempt: 1,
      service: SERVICE,
      tenant: "default",
      requestClass: "normal",
      budgetMs: 1_000,
      incarnation: "one",
      sender: "entry",
      sentAt: next,
    };
    const decision = admission.handleArrival(head);
    if (decision.kind === "open") {
      admission.enqueue(head, decision, {
        refuse: () => undefined,
        admit: (server) => {
          admission.recordEnd(server, decision.key, "finished");
        },
      });
    }
  };
}
