/**
 * Quarantine of workers whose tasks fail. A worker whose failures are not explained by the kinds of
 * its jobs gets no task for some time, then one task as a probe. A probe that succeeds ends the
 * quarantine, a failed one doubles it, and one that ends without a result is repeated. Until then
 * the worker is a reserve for tasks that no other worker has room for, one at a time. Only a limited
 * share of the fleet is quarantined.
 */
import type { AttemptResult } from "../batch/Placer.ts";
import { KindOutcomes } from "./KindOutcomes.ts";

/** Failure score at which a worker is quarantined; a failure adds at most 1. */
const QUARANTINE_SCORE = 3;
const INITIAL_PERIOD_MS = 10_000;
const MAX_PERIOD_MS = 600_000;
/** Time after which a probe without a result is repeated, in milliseconds. */
const PROBE_TIMEOUT_MS = 60_000;
/**
 * Failure score of a worker on which a probe is at work but has not ended: another failure
 * quarantines it again.
 */
const PROBATION_SCORE = QUARANTINE_SCORE - 0.5;
/** Time after a failure from which a quarantined worker is a reserve, in milliseconds. */
const RESERVE_DELAY_MS = 1_000;
/** Maximum share of the fleet in quarantine. */
const MAX_QUARANTINED_SHARE = 0.3;

interface Health {
  readonly failureScore: number;
  /** End of the quarantine; undefined for a worker that is not quarantined. */
  readonly until: number | undefined;
  readonly periodMs: number;
  readonly lastFailedAt: number;
  /** When the last probe was placed; undefined if none is in progress. */
  readonly probedAt: number | undefined;
  /** Attempt that is the probe; empty if the caller did not name it. */
  readonly probe: string;
}

const HEALTHY: Health = {
  failureScore: 0,
  until: undefined,
  periodMs: INITIAL_PERIOD_MS,
  lastFailedAt: Number.NEGATIVE_INFINITY,
  probedAt: undefined,
  probe: "",
};

/** How a VM may be used in a scheduling cycle. */
export type Admission =
  | "open"
  /** One task may be placed, as a probe. */
  | "probe"
  /** The same, but only a task that may fail any number of times and has no other VM. */
  | "reserve"
  | "closed";

/** An attempt that is at work and may never end. */
export interface AttemptAtWork {
  readonly agent: string;
  /** Kind of its job. */
  readonly kind: string;
  /** Name of the attempt, as given to `recordProbe`. */
  readonly probe: string;
}

/** What the result of an attempt changes for its worker. */
export type QuarantineChange = "none" | "quarantined" | "released";

/** Quarantines workers by the results of their attempts. */
export class WorkerQuarantine {
  private readonly _outcomes = new KindOutcomes();
  private readonly _workers = new Map<string, Health>();

  /**
   * Records the result of an attempt.
   * @param result - Result of the attempt.
   * @returns What the result changes for its worker.
   */
  record(result: AttemptResult): QuarantineChange {
    const { agent, kind, outcome } = result;
    const wasQuarantined = this._isQuarantined(agent);
    if (outcome === "completed") {
      this._outcomes.record(agent, kind, true);
      this._workers.delete(agent);
    }
    if (outcome === "failed") {
      const score = this._outcomes.getRateElsewhere(agent, kind);
      this._outcomes.record(agent, kind, false);
      this._addFailure(agent, score, result.now);
    }
    if (this._isQuarantined(agent) === wasQuarantined) {
      return "none";
    }
    return wasQuarantined ? "released" : "quarantined";
  }

  /**
   * Records that an attempt without an end has been at work for some time. If it is the probe of a
   * quarantined worker, the worker is released on probation: its next failures quarantine it again,
   * for twice as long.
   * @param attempt - Agent of the VM, kind of job, and name of the attempt.
   * @returns What this changes for the worker.
   */
  recordWork({ agent, kind, probe }: AttemptAtWork): QuarantineChange {
    this._outcomes.record(agent, kind, true);
    const health = this._workers.get(agent);
    if (health?.until === undefined || health.probe !== probe) {
      return "none";
    }
    const periodMs = Math.min(2 * health.periodMs, MAX_PERIOD_MS);
    this._workers.set(agent, { ...HEALTHY, failureScore: PROBATION_SCORE, periodMs });
    return "released";
  }

  /**
   * Gets how each quarantined VM may be used; VMs that are absent from the result are open. If too
   * many VMs would be quarantined, those with the lowest failure scores are admitted.
   * @param agents - Agents of the VMs that could accept tasks.
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
   * Records that a probe was placed.
   * @param agent - Agent of the VM.
   * @param now - Monotonic time in milliseconds.
   * @param probe - Name of the attempt; required for `releaseProbe`.
   */
  recordProbe(agent: string, now: number, probe = ""): void {
    const health = this._workers.get(agent);
    if (health !== undefined) {
      this._workers.set(agent, { ...health, probedAt: now, probe });
    }
  }

  /**
   * Records that an attempt ended without saying anything about its worker, so that another probe
   * may be placed if it was the probe.
   * @param agent - Agent of the VM.
   * @param probe - Name of the attempt.
   */
  releaseProbe(agent: string, probe: string): void {
    const health = this._workers.get(agent);
    if (health?.probe === probe) {
      this._workers.set(agent, { ...health, probedAt: undefined, probe: "" });
    }
  }

  /**
   * Removes workers whose VMs no longer exist.
   * @param agents - Agents of the known VMs.
   */
  retain(agents: ReadonlySet<string>): void {
    [...this._workers.keys()]
      .filter((agent) => !agents.has(agent))
      .forEach((agent) => this._workers.delete(agent));
  }

  private _isQuarantined(agent: string): boolean {
    return this._workers.get(agent)?.until !== undefined;
  }

  private _addFailure(agent: string, score: number, now: number): void {
    const health = this._workers.get(agent) ?? HEALTHY;
    const total = health.failureScore + score;
    if (health.until === undefined) {
      const until = total >= QUARANTINE_SCORE ? now + health.periodMs : undefined;
      this._workers.set(agent, { ...health, failureScore: total, until, lastFailedAt: now });
      return;
    }
    const failedProbe = health.probedAt !== undefined && health.probedAt >= health.until;
    const periodMs = failedProbe ? Math.min(2 * health.periodMs, MAX_PERIOD_MS) : health.periodMs;
    const until = failedProbe ? now + periodMs : health.until;
    this._workers.set(agent, {
      ...HEALTHY,
      failureScore: total,
      until,
      periodMs,
      lastFailedAt: now,
    });
  }

  private static _getAdmission(health: Health, now: number): Admission {
    const { until, probedAt, lastFailedAt } = health;
    const isProbing = probedAt !== undefined && now - probedAt < PROBE_TIMEOUT_MS;
    if (until === undefined || isProbing) {
      return "closed";
    }
    if (now >= until) {
      return "probe";
    }
    return now - lastFailedAt >= RESERVE_DELAY_MS ? "reserve" : "closed";
  }
}
