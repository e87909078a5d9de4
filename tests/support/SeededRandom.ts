/**
 * Reproducible random numbers for tests and stand-ins.
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { RandomSource } from "../../src/protocol/platform/RandomSource.ts";

/** Random numbers that are determined by a seed. */
export class SeededRandom extends RandomSource {
  /** Seed, to be printed by tests. */
  readonly seed: number;
  private readonly _generator: ReturnType<typeof xoroshiro128plus>;

  /**
   * Creates a source.
   * @param seed - Integer seed.
   */
  constructor(seed: number) {
    super();
    this.seed = seed;
    this._generator = xoroshiro128plus(seed);
  }

  /**
   * Creates a source for a test and prints its seed; the variable FIREFLYLB_SEED overrides the seed.
   * @param seed - Seed of the test.
   * @param print - Prints a text, such as the log function of the test.
   */
  static announce(seed: number, print: (text: string) => void): SeededRandom {
    const chosen = Number(process.env.FIREFLYLB_SEED ?? seed);
    print(`seed ${chosen}`);
    return new SeededRandom(chosen);
  }

  override next(): number {
    return uniformFloat64(this._generator);
  }
}
