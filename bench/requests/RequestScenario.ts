/**
 * Scenarios in which the algorithms that choose a backend server are compared.
 */

/** A scenario of load and faults. */
export interface RequestScenario {
  readonly name: string;
  /** Offered load, as a fraction of the capacity of all slots. */
  readonly load: number;
  /** Gets the factor on the service time of a server at a time. */
  readonly getSlowdown: (server: number, now: number) => number;
  /** Gets the fraction of requests that fail fast on a server. */
  readonly getFailureShare: (server: number) => number;
  /** Index of the entry that is killed halfway through the run; undefined for none. */
  readonly killedEntry?: number;
  /** Interval at which servers are replaced one after another, in milliseconds; 0 for never. */
  readonly replacePeriodMs: number;
}

const SLOW_FACTOR = 4;
const NOISY_FACTOR = 2;
const NOISY_SERVERS = 3;
const WAVE_DURATION_MS = 4_000;
const REPLACE_PERIOD_MS = 5_000;

function getNoSlowdown(): number {
  return 1;
}

function getNoFailures(): number {
  return 0;
}

function createScenario(name: string, overrides: Partial<RequestScenario>): RequestScenario {
  return {
    name,
    load: 0.8,
    getSlowdown: getNoSlowdown,
    getFailureShare: getNoFailures,
    replacePeriodMs: 0,
    ...overrides,
  };
}

/** All scenarios. */
export const REQUEST_SCENARIOS: readonly RequestScenario[] = [
  createScenario("even load 50%", { load: 0.5 }),
  createScenario("even load 80%", {}),
  createScenario("even load 95%", { load: 0.95 }),
  createScenario("overload 130%", { load: 1.3 }),
  createScenario("one slow server, 80%", {
    getSlowdown: (server) => (server === 0 ? SLOW_FACTOR : 1),
  }),
  createScenario("one server fails fast, 80%", {
    getFailureShare: (server) => (server === 0 ? 1 : 0),
  }),
  createScenario("noisy waves, 60%", {
    load: 0.6,
    getSlowdown: (server, now) =>
      server < NOISY_SERVERS && Math.floor(now / WAVE_DURATION_MS) % 2 === 1 ? NOISY_FACTOR : 1,
  }),
  createScenario("one of three entries ends, 80%", { killedEntry: 0 }),
  createScenario("servers replaced in turn, 80%", { replacePeriodMs: REPLACE_PERIOD_MS }),
];
