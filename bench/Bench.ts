/**
 * The contract of a measurement. A module `bench/<name>Bench.ts` exports one subclass as its
 * default; `npm run bench -- <name>` runs it.
 */

/** One measured figure. */
export interface Measurement {
  /** What was measured, as in "latency". */
  readonly name: string;
  readonly value: number;
  /** Unit of the value, as in "ms" or "1/s". */
  readonly unit: string;
  /** What tells this figure from others of the same name, as in { percentile: "99" }. */
  readonly labels: Readonly<Record<string, string>>;
}

/** What a measurement gets from the runner. */
export interface BenchContext {
  /** Seed of all random numbers of the run. */
  readonly seed: number;
  /** Size of the run; 1 is the usual one, smaller is quicker. */
  readonly scale: number;
  /** Records a figure. */
  readonly emit: (figure: Measurement) => void;
}

/** A measurement. */
export abstract class Bench {
  /** Name on the command line; that of the module without "Bench.ts". */
  abstract readonly name: string;

  /** Title in the report. */
  abstract readonly title: string;

  /**
   * Runs the measurement and ends everything that it started.
   * @param ctx - Seed, size and receiver of the figures.
   */
  abstract run(ctx: BenchContext): Promise<void>;
}
