/**
 * Compares the path through entry and agent with a bare relay of two hops that takes no decisions.
 * The two are measured alternately in one run; results are ratios of latency and throughput.
 */
import { spawn, type ChildProcess } from "node:child_process";
import { once } from "node:events";
import { join } from "node:path";
import { Cluster } from "../standins/cluster/Cluster.ts";
import { findFreeAddresses } from "../standins/support/freePorts.ts";
import { Bench, type BenchContext } from "./Bench.ts";
import { runRelayLoad, type RelayResult } from "./relay/RelayLoad.ts";

const ROUNDS = 5;
const ROUND_MS = 3_000;
const WARM_UP_MS = 2_000;
const CALLERS: readonly number[] = [1, 32];
const PERCENTILES: readonly number[] = [50, 99];
const US_PER_MS = 1_000;
const SLOTS = 64;

/** Benchmark of the request path against a bare relay. */
export default class RelayBench extends Bench {
  override readonly name = "relay";
  override readonly title = "Path through entry and agent against a bare relay of two hops";

  override async run(ctx: BenchContext): Promise<void> {
    const cluster = await Cluster.start({
      entries: 1,
      services: [
        {
          service: "rota-desk",
          vms: 1,
          serviceTimes: "fixed 0",
          slots: SLOTS,
          connections: SLOTS,
        },
      ],
    });
    const hops: ChildProcess[] = [];
    try {
      const bare = await startBareRelay(cluster.getVm().server?.address ?? "", hops);
      const path = cluster.getEntry().listen;
      for (const callers of CALLERS) {
        await compare(ctx, { path, bare, callers });
      }
    } finally {
      hops.forEach((hop) => hop.kill());
      await cluster.stop();
    }
  }
}

/** Starts the two hops and returns the address of the first. */
async function startBareRelay(target: string, hops: ChildProcess[]): Promise<string> {
  const [first = "", second = ""] = await findFreeAddresses(2);
  for (const [listen, next] of [
    [second, target],
    [first, second],
  ] as const) {
    const script = join(import.meta.dirname, "relay", "bareHop.ts");
    const args = [script, getPort(listen), getPort(next)];
    const hop = spawn(process.execPath, args, { stdio: ["ignore", "pipe", "inherit"] });
    hops.push(hop);
    await once(hop.stdout, "data");
  }
  return first;
}

function getPort(address: string): string {
  return address.split(":").at(-1) ?? "";
}

async function compare(
  ctx: BenchContext,
  addresses: { readonly path: string; readonly bare: string; readonly callers: number },
): Promise<void> {
  const { callers } = addresses;
  await runRelayLoad(addresses.path, callers, WARM_UP_MS);
  await runRelayLoad(addresses.bare, callers, WARM_UP_MS);
  const rounds: { readonly path: RelayResult; readonly bare: RelayResult }[] = [];
  for (let round = 0; round < ROUNDS; round += 1) {
    const bare = await runRelayLoad(addresses.bare, callers, ROUND_MS * ctx.scale);
    const path = await runRelayLoad(addresses.path, callers, ROUND_MS * ctx.scale);
    rounds.push({ path, bare });
  }
  const labels = { callers: String(callers) };
  PERCENTILES.forEach((percentile) => {
    const getLatencyUs = (result: RelayResult): number =>
      result.latencyUs.getValueAtPercentile(percentile);
    const percentileLabels = { ...labels, percentile: String(percentile) };
    const ratio = median(
      rounds.map((round) => getLatencyUs(round.path) / getLatencyUs(round.bare)),
    );
    ctx.emit({ name: "latency ratio", unit: "x", value: ratio, labels: percentileLabels });
    const bareMs = median(rounds.map((round) => getLatencyUs(round.bare))) / US_PER_MS;
    ctx.emit({
      name: "latency of the bare relay",
      unit: "ms",
      value: bareMs,
      labels: percentileLabels,
    });
    const pathMs = median(rounds.map((round) => getLatencyUs(round.path))) / US_PER_MS;
    ctx.emit({ name: "latency of the path", unit: "ms", value: pathMs, labels: percentileLabels });
  });
  const throughput = median(rounds.map((round) => round.path.throughput / round.bare.throughput));
  ctx.emit({ name: "throughput ratio", unit: "x", value: throughput, labels });
  const path = median(rounds.map((round) => round.path.throughput));
  ctx.emit({ name: "throughput of the path", unit: "1/s", value: path, labels });
  const failures = rounds.reduce((sum, round) => sum + round.path.failures, 0);
  ctx.emit({ name: "failures of the path", unit: "requests", value: failures, labels });
}

function median(values: readonly number[]): number {
  const ordered = values.toSorted((a, b) => a - b);
  return ordered[Math.floor(ordered.length / 2)] ?? Number.NaN;
}
