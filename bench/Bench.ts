/**
 * Base class of the benchmarks. A module `bench/<name>Bench.ts` has one subclass as its default
 * export; `npm run bench -- <name>` runs it.
 */

/** One measured value. */
export interface Measurement {
  /** Name of the measured quantity, such as "latency". */
  readonly name: string;
  readonly value: number;
  /** Unit of the value, such as "ms" or "1/s". */
  readonly unit: string;
  /** Labels that distinguish measurements of the same name, such as { percentile: "99" }. */
  readonly labels: Readonly<Record<string, string>>;
}

/** Context that the runner passes to a benchmark. */
export interface BenchContext {
  /** Seed of all random number generators of the run. */
  readonly seed: number;
  /** Factor on the size of the run; the default is 1, smaller values are faster. */
  readonly scale: number;
  /** Records a measurement. */
  readonly emit: (measurement: Measurement) => void;
}

/** A benchmark. */
export abstract class Bench {
  /** Name on the command line: the module's file name without "Bench.ts". */
  abstract readonly name: string;

  /** Title in the report. */
  abstract readonly title: string;

  /**
   * Runs the benchmark and stops everything that it started.
   * @param ctx - Seed, size and receiver of the measurements.
   */
  abstract run(ctx: BenchContext): Promise<void>;
}
