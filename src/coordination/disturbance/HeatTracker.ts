/**
 * Determines the heat level of one VM from the operators' setting and the worker's reports. The
 * level rises immediately and falls one level at a time after a calm period, which prevents
 * oscillation. Missing reports never lower a level that was reported before.
 */

/** Inputs of one heat decision. */
export interface HeatInput {
  readonly now: number;
  /** Level that operators have set for the zone; 0 if they have set none. */
  readonly operatorLevel: number;
  /** Last report of the worker; undefined if there has been none. */
  readonly report: HeatReport | undefined;
}

/** Heat report of a worker. */
export interface HeatReport {
  readonly receivedAt: number;
  /** Reported level; undefined if the worker reports none. */
  readonly level: number | undefined;
}

/** Effective heat level with its reason. */
export interface HeatDecision {
  readonly level: number;
  readonly reason: string;
  /** Whether the level is a safe assumption because the report is missing. */
  readonly isAssumed: boolean;
}

/** Age above which a report counts as missing, in milliseconds. */
export const HEAT_REPORT_TIMEOUT_MS = 6000;
/** Time for which reports must stay below the level before it falls by one, in milliseconds. */
export const HEAT_CALM_MS = 30_000;
/** Minimum level while reports are missing from a worker that has reported before. */
export const MIN_ASSUMED_HEAT_LEVEL = 1;

/** Tracks the heat level of one VM. */
export class HeatTracker {
  private _sensorLevel: number | undefined;
  private _calmSince: number | undefined;

  /**
   * Determines the effective level.
   * @param input - Inputs of the decision.
   */
  decide(input: HeatInput): HeatDecision {
    const reported = HeatTracker._getFreshLevel(input);
    if (reported !== undefined) {
      this._followReport(reported, input.now);
    } else {
      this._calmSince = undefined;
    }
    if (this._sensorLevel === undefined) {
      const reason = "set by operators; the worker reports no heat";
      return { level: input.operatorLevel, reason, isAssumed: false };
    }
    return HeatTracker._combineLevels(input.operatorLevel, this._sensorLevel, reported);
  }

  private _followReport(reported: number, now: number): void {
    const current = this._sensorLevel ?? reported;
    if (reported >= current) {
      this._sensorLevel = reported;
      this._calmSince = undefined;
      return;
    }
    this._calmSince ??= now;
    if (now - this._calmSince >= HEAT_CALM_MS) {
      this._sensorLevel = current - 1;
      this._calmSince = now;
    }
  }

  private static _combineLevels(
    operatorLevel: number,
    sensorLevel: number,
    reported: number | undefined,
  ): HeatDecision {
    const isAssumed = reported === undefined;
    const effectiveSensorLevel = isAssumed
      ? Math.max(sensorLevel, MIN_ASSUMED_HEAT_LEVEL)
      : sensorLevel;
    if (operatorLevel >= effectiveSensorLevel) {
      return { level: operatorLevel, reason: "set by operators", isAssumed: false };
    }
    if (isAssumed) {
      const reason = `the worker's heat report is missing; the last level was ${sensorLevel}`;
      return { level: effectiveSensorLevel, reason, isAssumed };
    }
    const reason =
      reported < effectiveSensorLevel
        ? `the worker reports level ${reported}; the level falls by one per ${HEAT_CALM_MS / 1000} s of lower reports`
        : "reported by the worker";
    return { level: effectiveSensorLevel, reason, isAssumed };
  }

  private static _getFreshLevel(input: HeatInput): number | undefined {
    const { report, now } = input;
    const isFresh = report !== undefined && now - report.receivedAt <= HEAT_REPORT_TIMEOUT_MS;
    return isFresh ? report.level : undefined;
  }
}
