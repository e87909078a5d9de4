/**
 * Decides the heat level of one VM from the operators' setting and the worker's reports. It rises
 * at once and falls by one level at a time after a calm period, so that it does not oscillate. A
 * report that is missing where there were reports before never lowers the level.
 */

/** What is known of the heat now. */
export interface HeatInput {
  readonly now: number;
  /** Level that operators have set for the zone; 0 where they have set none. */
  readonly operatorLevel: number;
  /** Last report of the worker; undefined where there was none yet. */
  readonly report: HeatReport | undefined;
}

/** Heat as a worker reports it. */
export interface HeatReport {
  readonly receivedAt: number;
  /** The level; undefined where the worker gives none. */
  readonly level: number | undefined;
}

/** The heat level in force, with its reason. */
export interface HeatDecision {
  readonly level: number;
  readonly reason: string;
  /** Whether the level is a safe choice for want of a report. */
  readonly isAssumed: boolean;
}

/** Age from which a report counts as missing, in milliseconds. */
export const HEAT_REPORT_TIMEOUT_MS = 6000;
/** Calm time before the level falls by one, in milliseconds. */
export const HEAT_CALM_MS = 30_000;
/** Least level while reports are missing that came before. */
export const MIN_ASSUMED_HEAT_LEVEL = 1;

/** Heat level of one VM. */
export class HeatTracker {
  private _sensorLevel: number | undefined;
  private _calmSince: number | undefined;

  /**
   * Decides the level.
   * @param input - What is known now.
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
    const sensed = isAssumed ? Math.max(sensorLevel, MIN_ASSUMED_HEAT_LEVEL) : sensorLevel;
    if (operatorLevel >= sensed) {
      return { level: operatorLevel, reason: "set by operators", isAssumed: false };
    }
    if (isAssumed) {
      const reason = `the worker's heat report is missing; last level ${sensorLevel}`;
      return { level: sensed, reason, isAssumed };
    }
    const reason =
      reported < sensed
        ? `the worker reports ${reported}, and it was hotter within ${HEAT_CALM_MS / 1000} s`
        : "reported by the worker";
    return { level: sensed, reason, isAssumed };
  }

  private static _getFreshLevel(input: HeatInput): number | undefined {
    const { report, now } = input;
    const isFresh = report !== undefined && now - report.receivedAt <= HEAT_REPORT_TIMEOUT_MS;
    return isFresh ? report.level : undefined;
  }
}
