/**
 * Service times of the backend stand-in, in milliseconds, drawn from a distribution: "fixed 5",
 * "exponential 8" (mean) or "lognormal 8 0.5" (median and standard deviation of the logarithm).
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
   * @param text - Distribution in the format above.
   * @param random - Source of random numbers.
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
