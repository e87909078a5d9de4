import test from "ava";
import { FairSharePlacer } from "../../../src/coordination/placement/FairSharePlacer.ts";
import type { PlacementInput, PlacementPlan } from "../../../src/coordination/batch/Placer.ts";
import { SeededRandom } from "../../support/SeededRandom.ts";
import {
  cores,
  createAllocatedTask,
  createInput,
  createQuota,
  createServer,
  createTask,
  createVm,
} from "../../support/placementFixtures.ts";

const SEED = 20_261;

function createPlacer(): FairSharePlacer {
  return new FairSharePlacer({ random: new SeededRandom(SEED) });
}

function plan(input: Parameters<typeof createInput>[0]): PlacementPlan {
  return createPlacer().plan(createInput(input));
}

function reasonOf(result: PlacementPlan, task: string): string | undefined {
  return result.waiting.find((waiting) => waiting.task === task)?.reason;
}

function tasks(prefix: string, count: number, overrides = {}) {
  return Array.from({ length: count }, (_, number) => createTask(`${prefix}${number}`, overrides));
}

test("FairSharePlacer places urgent tasks before all others", (t) => {
  const urgent = createTask("u", { urgent: true, readyAt: 9, tenant: "b" });
  const result = plan({ pending: [...tasks("p", 8), urgent], vms: [createVm("a")], limit: 1 });
  t.deepEqual(result.placements, [{ task: "u", agent: "a" }]);
  t.is(result.waiting.length, 8);
});

test("FairSharePlacer places only urgent tasks on VMs that admit only urgent starts", (t) => {
  const vms = [
    createVm("soft", { startHold: "the latency is not known yet", urgentMayStart: true }),
    createVm("hot", { startHold: "heat level 3", urgentMayStart: false }),
  ];
  const pending = [createTask("u", { urgent: true }), createTask("p")];
  const result = plan({ pending, vms, limit: 10 });
  t.deepEqual(result.placements, [{ task: "u", agent: "soft" }]);
  t.is(reasonOf(result, "u"), undefined);
});

test("FairSharePlacer gives tenants equal dominant shares", (t) => {
  const vms = Array.from({ length: 3 }, (_, number) => createVm(`vm${number}`));
  const pending = [...tasks("p", 100, { tenant: "x" }), ...tasks("q", 100, { tenant: "y" })];
  const result = plan({ pending, vms, limit: 10 });
  t.is(result.placements.filter(({ task }) => task.startsWith("p")).length, 5);
  t.is(result.placements.filter(({ task }) => task.startsWith("q")).length, 5);
});

test("FairSharePlacer takes weights and allocated resources into account", (t) => {
  const vms = Array.from({ length: 10 }, (_, number) => createVm(`vm${number}`));
  const pending = [...tasks("p", 100, { tenant: "x" }), ...tasks("q", 100, { tenant: "y" })];
  const quotas = { x: createQuota(100, 3), y: createQuota(100, 1) };
  const byWeight = plan({ pending, vms, limit: 20, quotas });
  t.is(byWeight.placements.filter(({ task }) => task.startsWith("p")).length, 15);
  const active = [createAllocatedTask("h", { tenant: "x", resources: cores(10) })];
  const byAllocation = plan({ pending, vms, limit: 10, active });
  t.is(byAllocation.placements.filter(({ task }) => task.startsWith("q")).length, 10);
});

test("FairSharePlacer keeps a tenant within its quota and reports the reason", (t) => {
  const active = [createAllocatedTask("h", { resources: cores(3) })];
  const pending = [...tasks("p", 3), createTask("other", { tenant: "o" })];
  const result = plan({
    pending,
    vms: [createVm("a")],
    active,
    quotas: { t: createQuota(4) },
  });
  t.deepEqual(result.placements.map(({ task }) => task).sort(), ["other", "p0"]);
  t.is(
    reasonOf(result, "p1"),
    "with it, tenant t would exceed its quota: 5 processors, the limit is 4",
  );
});

test("FairSharePlacer marks tasks that cannot run as unschedulable and places the others", (t) => {
  const pending = [
    createTask("huge", { resources: cores(9) }),
    createTask("over", { resources: cores(6) }),
    createTask("gpu", { resources: cores(1, 1), tenant: "o" }),
    createTask("small"),
  ];
  const result = plan({ pending, vms: [createVm("a")], quotas: { t: createQuota(5) } });
  t.deepEqual(result.placements, [{ task: "small", agent: "a" }]);
  t.true(result.waiting.every((waiting) => waiting.unschedulable));
  t.is(
    reasonOf(result, "over"),
    "it requests more than the quota of tenant t: 6 processors, the limit is 5",
  );
  t.is(reasonOf(result, "gpu"), "no VM is large enough for it: 1 accelerators, the limit is 0");
});

test("FairSharePlacer marks no task as unschedulable while no VM is known", (t) => {
  const [waiting] = plan({ pending: [createTask("p")] }).waiting;
  t.deepEqual(waiting, {
    task: "p",
    unschedulable: false,
    reason: "no known VM accepts tasks",
  });
});

test("FairSharePlacer uses neither draining VMs nor VMs with stale reports", (t) => {
  const vms = [
    createVm("draining", { draining: true }),
    createVm("stale"),
    createVm("b", { reportedAt: 15_000 }),
  ];
  const result = plan({ now: 20_000, pending: tasks("p", 3), vms });
  t.deepEqual([...new Set(result.placements.map(({ agent }) => agent))], ["b"]);
});

test("FairSharePlacer commits no VM beyond its free capacity in a cycle", (t) => {
  const vms = [createVm("a", { committed: cores(6) }), createVm("b", { committed: cores(5) })];
  const result = plan({ pending: tasks("p", 20), vms });
  t.is(result.placements.filter(({ agent }) => agent === "a").length, 2);
  t.is(result.placements.filter(({ agent }) => agent === "b").length, 3);
  t.is(reasonOf(result, result.waiting[0]?.task ?? ""), "no VM has enough free capacity");
});

test("FairSharePlacer keeps VMs with accelerators for tasks that need them", (t) => {
  const vms = [createVm("gpu", { capacity: cores(8, 1) }), createVm("plain")];
  const pending = [createTask("p"), createTask("g", { resources: cores(1, 1) })];
  const placements = new Map(
    plan({ pending, vms }).placements.map(({ task, agent }) => [task, agent]),
  );
  t.is(placements.get("p"), "plain");
  t.is(placements.get("g"), "gpu");
});

test("FairSharePlacer spreads the tasks of a lost rack over VMs, differently for each owner", (t) => {
  const vms = Array.from({ length: 100 }, (_, number) => createVm(`vm${number}`));
  const counts = [1, 2, 3].map((seed) => {
    const placer = new FairSharePlacer({ random: new SeededRandom(seed) });
    const result = placer.plan(createInput({ pending: tasks("p", 40), vms }));
    return Map.groupBy(result.placements, ({ agent }) => agent);
  });
  counts.forEach((byAgent) => {
    t.true([...byAgent.values()].every((placed) => placed.length <= 4));
  });
  const common = [...(counts[0]?.keys() ?? [])].filter((agent) => counts[1]?.has(agent));
  t.true(common.length <= 3, `two owners chose ${common.length} VMs in common`);
});

test("FairSharePlacer avoids VMs whose services a kind of job would disturb", (t) => {
  const placer = new FairSharePlacer({
    random: new SeededRandom(SEED),
    getPenalty: (services, kind) => (kind === "noisy" && services.includes("desk") ? 1 : 0),
  });
  const vms = [createVm("desk", { servers: [createServer("desk")] }), createVm("free")];
  const pending = [...tasks("n", 8, { kind: "noisy" }), ...tasks("q", 4)];
  const first = placer.plan(createInput({ pending, vms }));
  const noisy = first.placements.filter(({ task }) => task.startsWith("n"));
  t.true(noisy.length > 0 && noisy.every(({ agent }) => agent === "free"));
  const rest = placer.plan(
    createInput({ pending: tasks("n", 1, { kind: "noisy" }), vms: vms.slice(0, 1) }),
  );
  t.is(reasonOf(rest, "n0"), "it would disturb the services of every VM with enough free capacity");
});

test("FairSharePlacer does not starve a large task under a stream of small ones", (t) => {
  const placer = createPlacer();
  const large = createTask("large", { tenant: "l", resources: cores(8) });
  const ends = new Map<string, { readonly agent: string; readonly at: number }>();
  let placedAt: number | undefined;
  for (let now = 0; now < 60_000 && placedAt === undefined; now += 200) {
    [...ends].filter(([, end]) => end.at <= now).forEach(([task]) => ends.delete(task));
    const vms = ["a", "b", "c"].map((agent) => {
      const count = [...ends.values()].filter((end) => end.agent === agent).length;
      return createVm(agent, { committed: cores(count), reportedAt: now });
    });
    const stream = tasks(`s${now}/`, 10, { readyAt: now });
    const result = placer.plan(createInput({ now, pending: [large, ...stream], vms }));
    result.placements.forEach(({ task, agent }) => {
      if (task === "large") {
        placedAt = now;
      }
      ends.set(task, { agent, at: now + 5_000 + (ends.size % 7) * 500 });
    });
  }
  // The task waits until a VM is reserved for it, and then for the longest task on that VM.
  t.true(
    placedAt !== undefined && placedAt <= 10_000 + 8_000 + 400,
    `placed at ${placedAt ?? "never"}`,
  );
});

test("FairSharePlacer quarantines a worker that fails all kinds of jobs, probes it and readmits it", (t) => {
  const placer = createPlacer();
  const vms = ["a", "b", "c", "bad"].map((agent) => createVm(agent));
  const agentsAt = (now: number, overrides: Partial<PlacementInput> = {}) => {
    const fresh = vms.map((vm) => ({ ...vm, reportedAt: now }));
    const input = createInput({ now, pending: tasks(`p${now}/`, 16), vms: fresh, ...overrides });
    return placer.plan(input).placements.map(({ agent }) => agent);
  };
  ["k1", "k2", "k3"].forEach((kind) => {
    ["a", "b", "c"].forEach((agent) => {
      placer.recordAttempt({ agent, kind, outcome: "completed", now: 0 });
    });
  });
  ["k1", "k2", "k3", "k1", "k2"].forEach((kind) => {
    placer.recordAttempt({ agent: "bad", kind, outcome: "failed", now: 0 });
  });
  t.false(agentsAt(100).includes("bad"));
  t.is(agentsAt(10_100).filter((agent) => agent === "bad").length, 1);
  t.false(agentsAt(10_300).includes("bad"));
  placer.recordAttempt({ agent: "bad", kind: "k1", outcome: "failed", now: 11_000 });
  t.false(agentsAt(30_900).includes("bad"));
  t.true(agentsAt(31_000).includes("bad"));
  placer.recordAttempt({ agent: "bad", kind: "k1", outcome: "completed", now: 32_000 });
  t.true(agentsAt(32_000).filter((agent) => agent === "bad").length > 1);
});

test("FairSharePlacer quarantines no worker for a kind of job that fails everywhere", (t) => {
  const placer = createPlacer();
  const vms = ["a", "b", "c", "d"].map((agent) => createVm(agent));
  for (let attempt = 0; attempt < 50; attempt += 1) {
    vms.forEach(({ agent }) => {
      placer.recordAttempt({ agent, kind: "broken", outcome: "failed", now: attempt });
    });
  }
  const result = placer.plan(createInput({ now: 100, pending: tasks("p", 16), vms }));
  t.is(result.placements.length, 16);
});

test("FairSharePlacer never quarantines more than a third of the VMs", (t) => {
  const placer = createPlacer();
  const vms = Array.from({ length: 9 }, (_, number) => createVm(`vm${number}`));
  vms.forEach(({ agent }) => {
    for (let kind = 0; kind < 20; kind += 1) {
      placer.recordAttempt({ agent, kind: `k${kind}`, outcome: "failed", now: 0 });
    }
  });
  const result = placer.plan(createInput({ now: 100, pending: tasks("p", 36), vms }));
  t.true(new Set(result.placements.map(({ agent }) => agent)).size >= 6);
});

test("FairSharePlacer does not count a refusal for lack of capacity as a failure", (t) => {
  const placer = createPlacer();
  for (let attempt = 0; attempt < 20; attempt += 1) {
    placer.recordAttempt({ agent: "a", kind: "k", outcome: "refused", now: attempt });
  }
  const vms = ["a", "b", "c", "d"].map((agent) => createVm(agent));
  const result = placer.plan(createInput({ now: 100, pending: tasks("p", 16), vms }));
  t.true(result.placements.some(({ agent }) => agent === "a"));
});
