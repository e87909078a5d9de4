/**
 * Random numbers for tests and stand-ins: the same seed gives the same numbers.
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { RandomSource } from "../../src/protocol/platform/RandomSource.ts";

/** Random numbers that follow from a seed. */
export class SeededRandom extends RandomSource {
  /** The seed, for the printed record of a run. */
  readonly seed: number;
  private readonly _generator: ReturnType<typeof xoroshiro128plus>;

  /**
   * Creates a source.
   * @param seed - Whole number.
   */
  constructor(seed: number) {
    super();
    this.seed = seed;
    this._generator = xoroshiro128plus(seed);
  }

  /**
   * Creates a source for a test and prints its seed; FIREFLYLB_SEED replaces the seed.
   * @param seed - Seed of the test.
   * @param print - Where the seed goes, as the log of the test.
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
