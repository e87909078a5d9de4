/**
 * Success rates of attempts by kind of job, on each VM and overall. They distinguish a failing kind
 * of job from a failing worker: a failure counts against a worker only to the extent that the kind
 * succeeds elsewhere.
 */

/** Number of outcomes of a kind from which the weight of the older ones is halved. */
const HALVING_COUNT = 200;
/** Successes and failures assumed for every kind in advance: one of each. */
const PRIOR = 1;
const MAX_KINDS = 4_096;

interface Tally {
  readonly succeeded: number;
  readonly failed: number;
}

const EMPTY_TALLY: Tally = { succeeded: 0, failed: 0 };

/** Counts outcomes by kind of job. */
export class KindOutcomes {
  private readonly _overall = new Map<string, Tally>();
  private readonly _byAgent = new Map<string, Tally>();

  /**
   * Records an outcome.
   * @param agent - VM on which the attempt ran.
   * @param kind - Kind of job.
   * @param succeeded - Whether the attempt completed.
   */
  record(agent: string, kind: string, succeeded: boolean): void {
    addToTally(this._overall, kind, succeeded);
    addToTally(this._byAgent, `${agent}\n${kind}`, succeeded);
  }

  /**
   * Gets the success rate of a kind on all VMs but one.
   * @param agent - The VM to leave out.
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
