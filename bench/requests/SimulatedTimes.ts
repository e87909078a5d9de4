/**
 * Simulated times: network delays and log-normal service times.
 */
import type { RandomSource } from "../../src/protocol/platform/RandomSource.ts";
import type { RequestSimulationOptions } from "./RequestSimulationTypes.ts";
import type { RequestScenario } from "./RequestScenario.ts";

const SAME_ZONE_MS = 0.1;
/** Standard deviation of the logarithm of the service time. */
const SERVICE_SIGMA = 0.6;

/** Network delays and service times of one simulation. */
export class SimulatedTimes {
  private readonly _options: RequestSimulationOptions;
  private readonly _scenario: RequestScenario;
  private readonly _random: RandomSource;

  /**
   * Creates the times.
   * @param options - Deployment and traffic.
   * @param scenario - Load and faults.
   * @param random - Source of random numbers.
   */
  constructor(options: RequestSimulationOptions, scenario: RequestScenario, random: RandomSource) {
    this._options = options;
    this._scenario = scenario;
    this._random = random;
  }

  /**
   * Gets the one-way delay between two zones, in milliseconds.
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
