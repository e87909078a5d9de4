/**
 * Measures cost and quality of placement: the time per placement at several fleet sizes, the
 * utilisation that a fleet reaches, and how long tenants wait while one of them floods the queue.
 */
import { FirstFitPlacer } from "../src/coordination/batch/FirstFitPlacer.ts";
import type { AllocatedTask, PendingTask, Placer } from "../src/coordination/batch/Placer.ts";
import { AlignmentRule } from "../src/coordination/placement/AlignmentRule.ts";
import { BestFitRule } from "../src/coordination/placement/BestFitRule.ts";
import { FairSharePlacer } from "../src/coordination/placement/FairSharePlacer.ts";
import { WorstFitRule } from "../src/coordination/placement/WorstFitRule.ts";
import { EMPTY_DOCUMENT } from "../src/protocol/config/ConfigDocument.ts";
import type { RandomSource } from "../src/protocol/platform/RandomSource.ts";
import { addResources, subtractResources, type Resources } from "../src/protocol/Resources.ts";
import type { VmRecord } from "../src/state/FleetView.ts";
import { SeededRandom } from "../tests/support/SeededRandom.ts";
import { Bench, type BenchContext } from "./Bench.ts";

const GIB = 2 ** 30;
const FLEET_SIZES = [11, 500, 4_200];
const CYCLE_INTERVAL_MS = 200;
/** Starts in one scheduling cycle at 3,100 starts per second. */
const STARTS_PER_CYCLE = 620;
const TIMED_CYCLES = 10;
const FLOW_VMS = 60;
const FLOW_CYCLES = 1_500;

interface PlacerVariant {
  readonly name: string;
  readonly create: (random: RandomSource) => Placer;
}

const PLACER_VARIANTS: readonly PlacerVariant[] = [
  { name: "first fit in order of arrival", create: () => new FirstFitPlacer() },
  {
    name: "fair share, best fit",
    create: (random) => new FairSharePlacer({ random, fitRule: new BestFitRule() }),
  },
  {
    name: "fair share, worst fit",
    create: (random) => new FairSharePlacer({ random, fitRule: new WorstFitRule() }),
  },
  {
    name: "fair share, alignment",
    create: (random) => new FairSharePlacer({ random, fitRule: new AlignmentRule() }),
  },
];

/** Benchmark that compares placers. */
export default class PlacementBench extends Bench {
  override readonly name = "placement";
  override readonly title = "Placement: cost, packing and waits by tenant";

  override run(ctx: BenchContext): Promise<void> {
    PLACER_VARIANTS.forEach((variant) => {
      // The results of the first run are discarded: it only warms up the JIT compiler.
      measureCost({ ...ctx, emit: () => undefined }, variant, 500);
      FLEET_SIZES.forEach((size) => {
        measureCost(ctx, variant, size);
      });
      measurePacking(ctx, variant);
      measureFlow(ctx, variant);
    });
    return Promise.resolve();
  }
}

function createFleet(size: number): readonly VmRecord[] {
  return Array.from({ length: size }, (_, number) => ({
    agent: `vm-${number}`,
    incarnation: "i",
    sequence: 1,
    region: "r",
    zone: `z${number % 3}`,
    rack: `rack-${Math.floor(number / 3)}`,
    requestAddress: "",
    controlAddress: "",
    capacity: {
      processorsMilli: 32_000,
      memoryBytes: 125 * GIB,
      accelerators: number % 4 === 0 ? 4 : 0,
    },
    committed: { processorsMilli: 4_000, memoryBytes: 8 * GIB, accelerators: 0 },
    used: { processorsMilli: 0, memoryBytes: 0, accelerators: 0 },
    servers: [],
    draining: false,
    configRevision: 1,
    tasks: 0,
    heatLevel: undefined,
    reportedAt: 0,
  }));
}

/** Draws resources of a task: small, memory-heavy, processor-heavy or with accelerators. */
function drawResources(random: RandomSource): Resources {
  const draw = random.next();
  if (draw < 0.5) {
    return createResources(500 + random.nextInt(6) * 250, 1 + random.nextInt(4));
  }
  if (draw < 0.7) {
    return createResources(1_000 + random.nextInt(4) * 500, 12 + random.nextInt(20));
  }
  if (draw < 0.9) {
    return createResources(4_000 + random.nextInt(8) * 1_000, 2 + random.nextInt(6));
  }
  return { ...createResources(2_000, 8), accelerators: 1 + random.nextInt(2) };
}

function createResources(processorsMilli: number, gib: number): Resources {
  return { processorsMilli, memoryBytes: gib * GIB, accelerators: 0 };
}

function createTask(id: string, overrides: Partial<PendingTask>): PendingTask {
  return {
    task: id,
    attempt: 1,
    tenant: "t0",
    kind: "kind",
    urgent: false,
    resources: createResources(1_000, 1),
    readyAt: 0,
    ...overrides,
  };
}

/** Fleet that tracks the committed resources of its VMs, as their agents would. */
class SimulatedFleet {
  private readonly _vms: Map<string, VmRecord>;

  constructor(vms: readonly VmRecord[]) {
    this._vms = new Map(vms.map((vm) => [vm.agent, vm]));
  }

  getVms(now: number): readonly VmRecord[] {
    return [...this._vms.values()].map((vm) => ({ ...vm, reportedAt: now }));
  }

  commit(agent: string, resources: Resources): void {
    this._updateCommitted(agent, (committed) => addResources(committed, resources));
  }

  release(agent: string, resources: Resources): void {
    this._updateCommitted(agent, (committed) => subtractResources(committed, resources));
  }

  getUtilisation(resource: "processorsMilli" | "memoryBytes" | "accelerators"): number {
    const vms = [...this._vms.values()];
    const committed = vms.reduce((sum, vm) => sum + vm.committed[resource], 0);
    return committed / vms.reduce((sum, vm) => sum + vm.capacity[resource], 0);
  }

  private _updateCommitted(agent: string, update: (committed: Resources) => Resources): void {
    const vm = this._vms.get(agent);
    if (vm !== undefined) {
      this._vms.set(agent, { ...vm, committed: update(vm.committed) });
    }
  }
}

function measureCost(ctx: BenchContext, variant: PlacerVariant, vmCount: number): void {
  const random = new SeededRandom(ctx.seed);
  const placer = variant.create(random);
  const fleet = new SimulatedFleet(createFleet(vmCount));
  const starts = Math.min(STARTS_PER_CYCLE, vmCount * 4);
  let elapsedMs = 0;
  let placed = 0;
  for (let cycle = 0; cycle < TIMED_CYCLES; cycle += 1) {
    const now = cycle * CYCLE_INTERVAL_MS;
    const pending = Array.from({ length: starts }, (_, number) =>
      createTask(`${cycle}/${number}`, {
        tenant: `t${random.nextInt(390)}`,
        kind: `k${random.nextInt(20)}`,
        urgent: random.next() < 0.1,
        resources: drawResources(random),
        readyAt: now,
      }),
    );
    const sizes = new Map(pending.map((task) => [task.task, task.resources]));
    const vms = fleet.getVms(now);
    const startedAt = performance.now();
    const plan = placer.plan({ now, pending, active: [], vms, cfg: EMPTY_DOCUMENT, limit: 1_000 });
    elapsedMs += performance.now() - startedAt;
    placed += plan.placements.length;
    // Half of the tasks keep running, so that the fleet fills from cycle to cycle.
    plan.placements
      .filter((_, number) => number % 2 === 0)
      .forEach(({ task, agent }) => {
        fleet.commit(agent, sizes.get(task) ?? createResources(0, 0));
      });
  }
  const labels = { placer: variant.name, vms: String(vmCount) };
  ctx.emit({ name: "time per placement", value: (elapsedMs * 1_000) / placed, unit: "us", labels });
  ctx.emit({ name: "time per round", value: elapsedMs / TIMED_CYCLES, unit: "ms", labels });
  ctx.emit({ name: "placed", value: placed, unit: "tasks", labels });
}

/** Fills a fleet with a mix of tasks over 40 cycles and measures its utilisation. */
function measurePacking(ctx: BenchContext, variant: PlacerVariant): void {
  const random = new SeededRandom(ctx.seed);
  const placer = variant.create(random);
  const fleet = new SimulatedFleet(createFleet(100));
  let pending = Array.from({ length: 1_500 }, (_, number) =>
    createTask(`${number}`, { resources: drawResources(random), readyAt: number }),
  );
  for (let cycle = 0; cycle < 40; cycle += 1) {
    const sizes = new Map(pending.map((task) => [task.task, task.resources]));
    const vms = fleet.getVms(0);
    const plan = placer.plan({ now: 0, pending, active: [], vms, cfg: EMPTY_DOCUMENT, limit: 200 });
    plan.placements.forEach(({ task, agent }) => {
      fleet.commit(agent, sizes.get(task) ?? createResources(0, 0));
    });
    const placed = new Set(plan.placements.map(({ task }) => task));
    pending = pending.filter((task) => !placed.has(task.task));
  }
  (["processorsMilli", "memoryBytes", "accelerators"] as const).forEach((part) => {
    const labels = { placer: variant.name, part };
    ctx.emit({ name: "packing", value: 100 * fleet.getUtilisation(part), unit: "%", labels });
  });
}

interface RunningTask extends AllocatedTask {
  readonly endsAt: number;
}

/**
 * Measures the waits of four tenants of equal weight: one submits several times its share at once,
 * two stay below their share, and one submits tasks that need most of a VM. A tenth of the tasks of
 * the two small tenants is urgent.
 */
function measureFlow(ctx: BenchContext, variant: PlacerVariant): void {
  const random = new SeededRandom(ctx.seed);
  const placer = variant.create(random);
  const fleet = new SimulatedFleet(createFleet(FLOW_VMS));
  const waits = new Map<string, number[]>();
  let pending: readonly PendingTask[] = [];
  let running: readonly RunningTask[] = [];
  let meanUtilisation = 0;
  const cycles = Math.max(200, Math.floor(FLOW_CYCLES * ctx.scale));
  for (let cycle = 0; cycle < cycles; cycle += 1) {
    const now = cycle * CYCLE_INTERVAL_MS;
    running
      .filter((task) => task.endsAt <= now)
      .forEach((task) => {
        fleet.release(task.agent, task.resources);
      });
    running = running.filter((task) => task.endsAt > now);
    pending = [...pending, ...drawArrivals(random, cycle, now)];
    const vms = fleet.getVms(now);
    const plan = placer.plan({
      now,
      pending,
      active: running,
      vms,
      cfg: EMPTY_DOCUMENT,
      limit: 200,
    });
    const byId = new Map(pending.map((task) => [task.task, task]));
    const started = plan.placements.flatMap(({ task, agent }) => {
      const found = byId.get(task);
      return found === undefined
        ? []
        : [{ ...found, agent, endsAt: now + 5_000 + random.nextInt(20_000) }];
    });
    started.forEach((task) => {
      fleet.commit(task.agent, task.resources);
      const label = task.urgent ? "urgent" : task.tenant;
      waits.set(label, [...(waits.get(label) ?? []), now - task.readyAt]);
    });
    running = [...running, ...started];
    const startedIds = new Set(started.map((task) => task.task));
    pending = pending.filter((task) => !startedIds.has(task.task));
    meanUtilisation += fleet.getUtilisation("processorsMilli") / cycles;
  }
  pending.forEach((task) => {
    const label = task.urgent ? "urgent" : task.tenant;
    waits.set(label, [...(waits.get(label) ?? []), cycles * CYCLE_INTERVAL_MS - task.readyAt]);
  });
  ctx.emit({
    name: "processors committed",
    value: 100 * meanUtilisation,
    unit: "%",
    labels: { placer: variant.name },
  });
  [...waits]
    .sort(([a], [b]) => a.localeCompare(b))
    .forEach(([tenant, values]) => {
      emitWaits(ctx, variant, tenant, values);
    });
}

function emitWaits(
  ctx: BenchContext,
  variant: PlacerVariant,
  tenant: string,
  values: readonly number[],
): void {
  const sorted = values.toSorted((a, b) => a - b);
  [50, 99].forEach((percentile) => {
    const value = sorted[Math.ceil((sorted.length * percentile) / 100) - 1] ?? 0;
    const labels = { placer: variant.name, tenant, percentile: String(percentile) };
    ctx.emit({ name: "wait", value: value / 1_000, unit: "s", labels });
  });
}

function drawArrivals(random: RandomSource, cycle: number, now: number): readonly PendingTask[] {
  const small = ["steady-a", "steady-b"].flatMap((tenant) =>
    Array.from({ length: random.nextInt(4) }, (_, number) =>
      createTask(`${tenant}/${cycle}/${number}`, {
        tenant,
        resources: createResources(1_000 + random.nextInt(3) * 500, 2),
        urgent: random.next() < 0.1,
        readyAt: now,
      }),
    ),
  );
  const flood = Array.from({ length: cycle % 100 === 0 ? 800 : 0 }, (_, number) =>
    createTask(`flood/${cycle}/${number}`, {
      tenant: "flood",
      resources: createResources(2_000, 4),
      readyAt: now,
    }),
  );
  const large = Array.from({ length: cycle % 25 === 0 ? 1 : 0 }, (_, number) =>
    createTask(`large/${cycle}/${number}`, {
      tenant: "large",
      resources: createResources(26_000, 60),
      readyAt: now,
    }),
  );
  return [...small, ...flood, ...large];
}
