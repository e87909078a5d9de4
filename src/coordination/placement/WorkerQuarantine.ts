/**
 * Quarantine of workers that fail what they start. A worker whose failures cannot be blamed on the
 * kinds of its jobs gets no task for a while, then one task as a probe. A probe that completes ends
 * the quarantine, one that fails doubles it. Only a bounded share of the fleet is kept out.
 */
import type { AttemptResult } from "../batch/Placer.ts";
import { KindOutcomes } from "./KindOutcomes.ts";

/** Blame, in whole failures, at which a worker is quarantined. */
const QUARANTINE_SCORE = 3;
const FIRST_PERIOD_MS = 10_000;
const MAX_PERIOD_MS = 600_000;
/** Time after which a probe without news is repeated, in milliseconds. */
const PROBE_TIMEOUT_MS = 60_000;
/** Largest share of the fleet that is kept out. */
const MAX_QUARANTINED_SHARE = 0.3;

interface Health {
  readonly failureScore: number;
  /** End of the quarantine; undefined for a worker that is not quarantined. */
  readonly until: number | undefined;
  readonly periodMs: number;
  /** When the last probe was placed; undefined where none is under way. */
  readonly probedAt: number | undefined;
}

const HEALTHY: Health = {
  failureScore: 0,
  until: undefined,
  periodMs: FIRST_PERIOD_MS,
  probedAt: undefined,
};

/** How a VM may be used in a round. */
export type Admission = "open" | "probe" | "closed";

/** Health of the workers, as the outcomes of attempts show it. */
export class WorkerQuarantine {
  private readonly _outcomes = new KindOutcomes();
  private readonly _workers = new Map<string, Health>();

  /**
   * Learns how an attempt went.
   * @param note - The attempt.
   */
  record(note: AttemptResult): void {
    const { agent, kind, outcome } = note;
    if (outcome === "completed") {
      this._outcomes.record(agent, kind, true);
      this._workers.delete(agent);
    }
    if (outcome === "failed") {
      const blame = this._outcomes.getRateElsewhere(agent, kind);
      this._outcomes.record(agent, kind, false);
      this._addFailure(agent, blame, note.now);
    }
  }

  /**
   * Gives how each quarantined VM may be used; VMs that are left out are open. The VMs with the
   * least blame are let in where too many would be kept out.
   * @param agents - VMs that could take tasks.
   * @param now - Monotonic time in milliseconds.
   */
  getAdmissions(agents: readonly string[], now: number): ReadonlyMap<string, Admission> {
    const present = new Set(agents);
    const quarantined = [...this._workers]
      .filter(([agent, health]) => present.has(agent) && health.until !== undefined)
      .sort(([, a], [, b]) => b.failureScore - a.failureScore)
      .slice(0, Math.floor(agents.length * MAX_QUARANTINED_SHARE));
    return new Map(
      quarantined.map(([agent, health]) => [agent, WorkerQuarantine._getAdmission(health, now)]),
    );
  }

  /**
   * Notes that a probe was placed.
   * @param agent - The VM.
   * @param now - Monotonic time in milliseconds.
   */
  recordProbe(agent: string, now: number): void {
    const health = this._workers.get(agent);
    if (health !== undefined) {
      this._workers.set(agent, { ...health, probedAt: now });
    }
  }

  /**
   * Forgets workers that are gone.
   * @param agents - VMs that are known.
   */
  retain(agents: ReadonlySet<string>): void {
    [...this._workers.keys()]
      .filter((agent) => !agents.has(agent))
      .forEach((agent) => this._workers.delete(agent));
  }

  private _addFailure(agent: string, blame: number, now: number): void {
    const health = this._workers.get(agent) ?? HEALTHY;
    const total = health.failureScore + blame;
    if (health.until === undefined) {
      const until = total >= QUARANTINE_SCORE ? now + health.periodMs : undefined;
      this._workers.set(agent, { ...health, failureScore: total, until });
      return;
    }
    const failedProbe = health.probedAt !== undefined;
    const periodMs = failedProbe ? Math.min(2 * health.periodMs, MAX_PERIOD_MS) : health.periodMs;
    const until = failedProbe ? now + periodMs : health.until;
    this._workers.set(agent, { failureScore: total, until, periodMs, probedAt: undefined });
  }

  private static _getAdmission(health: Health, now: number): Admission {
    if (health.until === undefined || now < health.until) {
      return "closed";
    }
    const probing = health.probedAt !== undefined && now - health.probedAt < PROBE_TIMEOUT_MS;
    return probing ? "closed" : "probe";
  }
}
