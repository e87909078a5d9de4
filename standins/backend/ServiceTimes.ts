/**
 * Service times of the backend stand-in: a seeded distribution, as "fixed 5", "exponential 8" (its
 * mean) or "lognormal 8 0.5" (its median and the deviation of its logarithm), in milliseconds.
 */
import type { RandomSource } from "../../src/protocol/platform/RandomSource.ts";

/** Distribution of service times. */
export class ServiceTimes {
  private readonly _random: RandomSource;
  private readonly _kind: string;
  private readonly _first: number;
  private readonly _second: number;

  /**
   * Creates a distribution.
   * @param text - Its text form.
   * @param random - Source of the numbers.
   */
  constructor(text: string, random: RandomSource) {
    const [kind = "fixed", first = "0", second = "0"] = text.split(" ");
    this._random = random;
    this._kind = kind;
    this._first = Number(first);
    this._second = Number(second);
  }

  /** Draws a service time, in milliseconds. */
  draw(): number {
    switch (this._kind) {
      case "exponential":
        return -this._first * Math.log(1 - this._random.next());
      case "lognormal":
        return this._first * Math.exp(this._second * this._drawNormal());
      default:
        return this._first;
    }
  }

  private _drawNormal(): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this._random.next()));
    return radius * Math.cos(2 * Math.PI * this._random.next());
  }
}
