/**
 * Source of random numbers as the decisions see it; seeded in tests and benches.
 */

/** Source of uniformly distributed random numbers. */
export abstract class RandomSource {
  /** Gives a number from 0, inclusive, to 1, exclusive. */
  abstract next(): number;

  /**
   * Gives a whole number from 0, inclusive, to a bound, exclusive.
   * @param bound - The bound; at least 1.
   */
  nextInt(bound: number): number {
    return Math.floor(this.next() * bound);
  }
}
