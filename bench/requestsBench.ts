/**
 * Compares the algorithms that choose a backend server: percentiles of latency and goodput in each
 * scenario, for the sizes of both deployments.
 */
import { LeastLatencyPicker } from "../src/coordination/requests/pickers/LeastLatencyPicker.ts";
import { LeastLoadedPicker } from "../src/coordination/requests/pickers/LeastLoadedPicker.ts";
import { RandomPicker } from "../src/coordination/requests/pickers/RandomPicker.ts";
import { RoundRobinPicker } from "../src/coordination/requests/pickers/RoundRobinPicker.ts";
import type { ServerPicker } from "../src/coordination/requests/pickers/ServerPicker.ts";
import { TwoChoicesLatencyPicker } from "../src/coordination/requests/pickers/TwoChoicesLatencyPicker.ts";
import { TwoChoicesLoadPicker } from "../src/coordination/requests/pickers/TwoChoicesLoadPicker.ts";
import type { RandomSource } from "../src/protocol/platform/RandomSource.ts";
import { SeededRandom } from "../tests/support/SeededRandom.ts";
import { Bench, type BenchContext } from "./Bench.ts";
import { RequestSimulation } from "./requests/RequestSimulation.ts";
import type { RequestSimulationOptions } from "./requests/RequestSimulationTypes.ts";
import { REQUEST_SCENARIOS } from "./requests/RequestScenario.ts";

const DURATION_MS = 15_000;
const PERCENTILES: readonly number[] = [50, 99, 99.9];
const US_PER_MS = 1_000;

const DEPLOYMENTS: Readonly<Record<string, Omit<RequestSimulationOptions, "durationMs">>> = {
  collective: {
    servers: 11,
    slots: 8,
    entries: 3,
    zones: 3,
    crossZoneMs: 1,
    meanServiceMs: 10,
  },
  academy: {
    servers: 11,
    slots: 8,
    entries: 3,
    zones: 3,
    crossZoneMs: 1.5,
    meanServiceMs: 25,
  },
};

const PICKERS: Readonly<Record<string, (random: RandomSource) => ServerPicker>> = {
  random: (random) => new RandomPicker(random),
  "round robin": () => new RoundRobinPicker(),
  "least loaded": () => new LeastLoadedPicker(),
  "two choices by load": (random) => new TwoChoicesLoadPicker(random),
  "two choices by latency": (random) => new TwoChoicesLatencyPicker(random),
  "least latency": (random) => new LeastLatencyPicker(random),
};

/** Benchmark of the choice of a backend server. */
export default class RequestsBench extends Bench {
  override readonly name = "requests";
  override readonly title = "Choice of a backend server";

  override async run(ctx: BenchContext): Promise<void> {
    Object.entries(DEPLOYMENTS).forEach(([shape, sizes]) => {
      REQUEST_SCENARIOS.forEach((scenario) => {
        Object.entries(PICKERS).forEach(([picker, createPicker]) => {
          const random = new SeededRandom(ctx.seed);
          const simulation = new RequestSimulation(
            { ...sizes, durationMs: DURATION_MS * ctx.scale },
            scenario,
            random,
            () => createPicker(random),
          );
          const result = simulation.run();
          const labels = { shape, scenario: scenario.name, picker };
          PERCENTILES.forEach((percentile) => {
            ctx.emit({
              name: "latency",
              unit: "ms",
              value: result.latencyUs.getValueAtPercentile(percentile) / US_PER_MS,
              labels: { ...labels, percentile: String(percentile) },
            });
          });
          const emit = (name: string, unit: string, value: number): void => {
            ctx.emit({ name, unit, value, labels });
          };
          emit("goodput", "1/s", result.goodput);
          emit("offered", "1/s", result.offered);
          emit("failed", "requests", result.failed);
          emit("refused", "requests", result.refused);
          emit("refusal median", "ms", result.refusalUs.getValueAtPercentile(50) / US_PER_MS);
        });
      });
    });
    await Promise.resolve();
  }
}
