/**
 * Times of the model: delays of the network and service times with a long tail.
 */
import type { RandomSource } from "../../src/protocol/platform/RandomSource.ts";
import type { RequestSimulationOptions } from "./RequestSimulationTypes.ts";
import type { RequestScenario } from "./RequestScenario.ts";

const SAME_ZONE_MS = 0.1;
/** Spread of the service time: standard deviation of its logarithm. */
const SERVICE_SIGMA = 0.6;

/** Times of one run. */
export class SimulatedTimes {
  private readonly _options: RequestSimulationOptions;
  private readonly _scenario: RequestScenario;
  private readonly _random: RandomSource;

  /**
   * Creates the times.
   * @param shape - Deployment and traffic.
   * @param scenario - The situation.
   * @param random - Source of random numbers.
   */
  constructor(shape: RequestSimulationOptions, scenario: RequestScenario, random: RandomSource) {
    this._options = shape;
    this._scenario = scenario;
    this._random = random;
  }

  /**
   * Gives the one-way delay between two zones, in milliseconds.
   * @param a - One zone.
   * @param b - The other zone.
   */
  getDelayMs(a: string, b: string): number {
    return a === b ? SAME_ZONE_MS : this._options.crossZoneMs;
  }

  /**
   * Draws a service time, in milliseconds.
   * @param server - Index of the server.
   * @param now - Virtual time in milliseconds.
   */
  drawServiceMs(server: number, now: number): number {
    const normal =
      Math.sqrt(-2 * Math.log(1 - this._random.next())) *
      Math.cos(2 * Math.PI * this._random.next());
    const mean = this._options.meanServiceMs * this._scenario.getSlowdown(server, now);
    return mean * Math.exp(SERVICE_SIGMA * normal - SERVICE_SIGMA ** 2 / 2);
  }
}
