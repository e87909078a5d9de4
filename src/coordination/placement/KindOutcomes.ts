/**
 * How often attempts of each kind of job succeed, on each VM and overall. It tells a failing kind
 * of job from a failing worker: a failure counts against a worker only as far as the kind succeeds
 * elsewhere.
 */

/** Number of outcomes above which the older ones of a kind lose half their weight. */
const HALVING_COUNT = 200;
/** Outcomes assumed of a kind of which nothing is known: one success and one failure. */
const PRIOR = 1;
const MAX_KINDS = 4_096;

interface Tally {
  readonly succeeded: number;
  readonly failed: number;
}

const EMPTY_TALLY: Tally = { succeeded: 0, failed: 0 };

/** Outcomes by kind of job. */
export class KindOutcomes {
  private readonly _overall = new Map<string, Tally>();
  private readonly _byAgent = new Map<string, Tally>();

  /**
   * Takes in an outcome.
   * @param agent - VM on which the attempt ran.
   * @param kind - Kind of job.
   * @param succeeded - Whether the attempt completed.
   */
  record(agent: string, kind: string, succeeded: boolean): void {
    addToTally(this._overall, kind, succeeded);
    addToTally(this._byAgent, `${agent}\n${kind}`, succeeded);
  }

  /**
   * Gives the rate at which a kind succeeds on all VMs but one.
   * @param agent - The VM that is left out.
   * @param kind - Kind of job.
   */
  getRateElsewhere(agent: string, kind: string): number {
    const all = this._overall.get(kind) ?? EMPTY_TALLY;
    const own = this._byAgent.get(`${agent}\n${kind}`) ?? EMPTY_TALLY;
    const succeeded = Math.max(0, all.succeeded - own.succeeded) + PRIOR;
    const failed = Math.max(0, all.failed - own.failed) + PRIOR;
    return succeeded / (succeeded + failed);
  }
}

function addToTally(tallies: Map<string, Tally>, key: string, succeeded: boolean): void {
  const known = tallies.get(key) ?? EMPTY_TALLY;
  const factor = known.succeeded + known.failed >= HALVING_COUNT ? 0.5 : 1;
  tallies.delete(key);
  tallies.set(key, {
    succeeded: known.succeeded * factor + Number(succeeded),
    failed: known.failed * factor + Number(!succeeded),
  });
  const [oldest] = tallies.keys();
  if (oldest !== undefined && tallies.size > MAX_KINDS) {
    tallies.delete(oldest);
  }
}
