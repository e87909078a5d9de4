/**
 * Measures how the cost of the control plane grows: bytes, processor time and memory of an entry
 * per reporting agent, with 1 and with 4 backend servers on each agent, and processor time and
 * memory of an agent per task. docs/CAPACITY.md extrapolates from these slopes.
 */
import { create } from "@bufbuild/protobuf";
import {
  HeartbeatRequestSchema,
  type HeartbeatRequest,
} from "../src/protocol/generated/fireflylb/v1/control_pb.ts";
import { EntryClients } from "../src/transport/control/EntryClients.ts";
import { Cluster } from "../standins/cluster/Cluster.ts";
import { callJson } from "../standins/cluster/httpJson.ts";
import { FaultProxy } from "../standins/proxy/FaultProxy.ts";
import { findFreeAddresses } from "../standins/support/freePorts.ts";
import { MachineClock } from "../standins/support/MachineClock.ts";
import { Bench, type BenchContext } from "./Bench.ts";
import { fitLine } from "./slopes/fitLine.ts";
import { readUsage, type ProcessUsage } from "./slopes/readUsage.ts";

const AGENT_COUNTS: readonly number[] = [50, 150, 300];
const SERVER_COUNTS: readonly number[] = [1, 4];
const TASK_COUNTS: readonly number[] = [0, 20, 60];
const HEARTBEAT_MS = 500;
const WARM_UP_MS = 3_000;
const MEASUREMENT_MS = 10_000;
const MS_PER_SECOND = 1_000;
const US_PER_SECOND = 1_000_000;
const BYTES_PER_KIB = 1_024;

interface EntryCost {
  readonly agents: number;
  readonly bytesUpPerHeartbeat: number;
  readonly bytesDownPerHeartbeat: number;
  readonly cpuUsPerHeartbeat: number;
  readonly memoryBytes: number;
}

/** Benchmark of the cost of the control plane. */
export default class SlopesBench extends Bench {
  override readonly name = "slopes";
  override readonly title = "Slopes of the cost of control";

  override async run(ctx: BenchContext): Promise<void> {
    for (const servers of SERVER_COUNTS) {
      await measureEntry(ctx, servers);
    }
    await measureAgent(ctx);
  }
}

/** Measures one entry process with an increasing number of agents that report to it. */
async function measureEntry(ctx: BenchContext, servers: number): Promise<void> {
  const cluster = await Cluster.start({ entries: 1, services: [], plainVms: 0 });
  const [address = ""] = await findFreeAddresses(1);
  const proxy = new FaultProxy(new MachineClock(), address, cluster.getEntry().control);
  await proxy.start();
  const costs: EntryCost[] = [];
  try {
    for (const agents of AGENT_COUNTS) {
      costs.push(await measureHeartbeats(cluster, proxy, { agents, servers, scale: ctx.scale }));
    }
  } finally {
    await proxy.stop();
    await cluster.stop();
  }
  const labels = { role: "entry", servers: String(servers) };
  const last = costs.at(-1);
  const memory = fitLine(costs.map((cost) => [cost.agents, cost.memoryBytes]));
  const emit = (name: string, unit: string, value: number): void => {
    ctx.emit({ name, unit, value, labels });
  };
  emit("heartbeat, bytes to the entry", "B", last?.bytesUpPerHeartbeat ?? Number.NaN);
  emit("heartbeat, bytes from the entry", "B", last?.bytesDownPerHeartbeat ?? Number.NaN);
  emit("heartbeat, processor time", "us", last?.cpuUsPerHeartbeat ?? Number.NaN);
  emit("memory for each agent", "KiB", memory.slope / BYTES_PER_KIB);
  emit("memory without agents", "KiB", memory.intercept / BYTES_PER_KIB);
}

async function measureHeartbeats(
  cluster: Cluster,
  proxy: FaultProxy,
  options: { readonly agents: number; readonly servers: number; readonly scale: number },
): Promise<EntryCost> {
  const clients = Array.from({ length: options.agents }, () => new EntryClients());
  let sequence = 0;
  const sendHeartbeats = async (): Promise<void> => {
    sequence += 1;
    await Promise.all(
      clients.map((client, index) =>
        client
          .getClient(proxy.address)
          .heartbeat(createHeartbeat(index, sequence, options.servers)),
      ),
    );
  };
  await repeatAtInterval(sendHeartbeats, WARM_UP_MS);
  const { api } = cluster.getEntry();
  const before = { usage: await readUsage(api), counts: { ...proxy.counts }, sequence };
  await repeatAtInterval(sendHeartbeats, MEASUREMENT_MS * options.scale);
  const after = { usage: await readUsage(api), counts: proxy.counts };
  const heartbeats = (sequence - before.sequence) * options.agents;
  return {
    agents: options.agents,
    bytesUpPerHeartbeat: (after.counts.upBytes - before.counts.upBytes) / heartbeats,
    bytesDownPerHeartbeat: (after.counts.downBytes - before.counts.downBytes) / heartbeats,
    cpuUsPerHeartbeat: (getCpuSeconds(before.usage, after.usage) * US_PER_SECOND) / heartbeats,
    memoryBytes: after.usage.memoryBytes,
  };
}

async function repeatAtInterval(step: () => Promise<void>, durationMs: number): Promise<void> {
  const endsAt = performance.now() + durationMs;
  while (performance.now() < endsAt) {
    const startedAt = performance.now();
    await step();
    const remainingMs = Math.max(0, startedAt + HEARTBEAT_MS - performance.now());
    await new Promise((resolve) => setTimeout(resolve, remainingMs));
  }
}

function createHeartbeat(index: number, sequence: number, servers: number): HeartbeatRequest {
  const resources = { processorsMilli: 32_000, memoryBytes: 125e9, accelerators: 1 };
  return create(HeartbeatRequestSchema, {
    agent: `vm-${index}`,
    incarnation: `0f8fad5b-d9cb-469f-a165-${String(index).padStart(12, "0")}`,
    sequence: BigInt(sequence),
    region: "region-1",
    zone: "zone-a",
    rack: `rack-${index % 40}`,
    requestAddress: `10.0.${index >> 8}.${index & 255}:7000`,
    controlAddress: `10.0.${index >> 8}.${index & 255}:7001`,
    capacity: resources,
    committed: resources,
    used: resources,
    servers: Array.from({ length: servers }, (_, server) => ({
      service: `service-${server}`,
      id: `server-${index}-${server}`,
      slots: 8,
      slotsInUse: sequence % 8,
      queued: sequence % 3,
      p50Us: 9_000 + sequence,
      p99Us: 30_000 + sequence,
      requests: 400,
    })),
    configRevision: 1n,
    tasks: 9,
  });
}

/** Measures one agent process with an increasing number of tasks. */
async function measureAgent(ctx: BenchContext): Promise<void> {
  const cluster = await Cluster.start({ entries: 1, processorsMilli: 64_000 });
  try {
    const points: { readonly tasks: number; readonly cpu: number; readonly memory: number }[] = [];
    for (const [step, tasks] of TASK_COUNTS.entries()) {
      await submitTasks(cluster, `step-${step}`, tasks - (TASK_COUNTS[step - 1] ?? 0));
      points.push({ tasks, ...(await measureUsage(cluster.getVm().agent.admin, ctx.scale)) });
    }
    const cpu = fitLine(points.map((point) => [point.tasks / 2, point.cpu]));
    const memory = fitLine(points.map((point) => [point.tasks / 2, point.memory]));
    const labels = { role: "agent", servers: "1" };
    const emit = (name: string, unit: string, value: number): void => {
      ctx.emit({ name, unit, value, labels });
    };
    emit("processor share without tasks", "% of a core", cpu.intercept);
    emit("processor share for each task", "% of a core", cpu.slope);
    emit("memory without tasks", "KiB", memory.intercept / BYTES_PER_KIB);
    emit("memory for each task", "KiB", memory.slope / BYTES_PER_KIB);
  } finally {
    await cluster.stop();
  }
}

async function submitTasks(cluster: Cluster, key: string, tasks: number): Promise<void> {
  if (tasks <= 0) {
    return;
  }
  const spec = {
    key,
    tenant: "bench",
    kind: "transcode",
    tasks,
    resources: { processorsMilli: 500, memoryBytes: 1_000_000 },
    command: "run 600000",
  };
  await callJson("POST", `http://${cluster.getEntry().api}/v1/jobs`, spec);
}

async function measureUsage(
  admin: string,
  scale: number,
): Promise<{ readonly cpu: number; readonly memory: number }> {
  await new Promise((resolve) => setTimeout(resolve, WARM_UP_MS));
  const before = await readUsage(admin);
  const startedAt = performance.now();
  await new Promise((resolve) => setTimeout(resolve, MEASUREMENT_MS * scale));
  const after = await readUsage(admin);
  const seconds = (performance.now() - startedAt) / MS_PER_SECOND;
  return { cpu: (getCpuSeconds(before, after) / seconds) * 100, memory: after.memoryBytes };
}

function getCpuSeconds(before: ProcessUsage, after: ProcessUsage): number {
  return after.cpuSeconds - before.cpuSeconds;
}
