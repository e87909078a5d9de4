/**
 * Source of random numbers; seeded in tests and benchmarks.
 */

/** Source of uniformly distributed random numbers. */
export abstract class RandomSource {
  /** Gets a number from 0, inclusive, to 1, exclusive. */
  abstract next(): number;

  /**
   * Gets an integer from 0, inclusive, to a bound, exclusive.
   * @param bound - The bound; at least 1.
   */
  nextInt(bound: number): number {
    return Math.floor(this.next() * bound);
  }
}
