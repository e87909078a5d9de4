/**
 * Outlier ejection of one backend server: a server that fails its requests is excluded, so that its
 * fast failures do not attract load. It is ejected after consecutive failures or a high failure
 * rate within a window. The ejection time doubles with each ejection; afterwards the server is
 * readmitted through single probe requests.
 */

/** Ejection state of a server: selectable, ejected, or probed by single requests. */
export type EjectionState = "in" | "ejected" | "probing";

/** Consecutive failures after which a server is ejected. */
const CONSECUTIVE_FAILURES = 5;
/** Failure rate within a window from which a server is ejected. */
const FAILURE_SHARE = 0.5;
const MIN_WINDOW_REQUESTS = 20;
const WINDOW_MS = 5_000;
const INITIAL_EJECTION_MS = 2_000;
const MAX_EJECTION_MS = 60_000;
/** Consecutive successful probes after which a server is readmitted. */
const PROBES_TO_READMIT = 3;

/** Ejection state of one backend server as one entry sees it. */
export class OutlierEjector {
  private _state: EjectionState = "in";
  private _consecutiveFailures = 0;
  private _windowStart = 0;
  private _windowRequests = 0;
  private _windowFailures = 0;
  private _ejections = 0;
  private _ejectedUntil = 0;
  private _successfulProbes = 0;
  private _probeInFlight = false;

  /**
   * Gets the state at a time; an ejection that has expired becomes probing.
   * @param now - Monotonic time in milliseconds.
   */
  getState(now: number): EjectionState {
    if (this._state === "ejected" && now >= this._ejectedUntil) {
      this._state = "probing";
      this._successfulProbes = 0;
      this._probeInFlight = false;
    }
    return this._state;
  }

  /**
   * Returns whether the server may receive a request: always when selectable, one at a time when
   * probing.
   * @param now - Monotonic time in milliseconds.
   */
  isAvailable(now: number): boolean {
    const state = this.getState(now);
    return state === "in" || (state === "probing" && !this._probeInFlight);
  }

  /** Records that a request is sent to the server. */
  recordSent(): void {
    if (this._state === "probing") {
      this._probeInFlight = true;
    }
  }

  /**
   * Records a response that is not a failure of the server.
   * @param now - Monotonic time in milliseconds.
   */
  recordSuccess(now: number): void {
    this._consecutiveFailures = 0;
    this._recordInWindow(now, false);
    if (this._state !== "probing") {
      return;
    }
    this._probeInFlight = false;
    this._successfulProbes += 1;
    if (this._successfulProbes >= PROBES_TO_READMIT) {
      this._state = "in";
      this._ejections = Math.max(0, this._ejections - 1);
    }
  }

  /**
   * Records a failure of the server.
   * @param now - Monotonic time in milliseconds.
   */
  recordFailure(now: number): void {
    this._consecutiveFailures += 1;
    this._recordInWindow(now, true);
    if (this._state === "probing" || (this._state === "in" && this._isFailing())) {
      this._eject(now);
    }
  }

  /** Records that a request ended without evidence about the server's health. */
  recordInconclusive(): void {
    this._probeInFlight = false;
  }

  private _isFailing(): boolean {
    return (
      this._consecutiveFailures >= CONSECUTIVE_FAILURES ||
      (this._windowRequests >= MIN_WINDOW_REQUESTS &&
        this._windowFailures >= this._windowRequests * FAILURE_SHARE)
    );
  }

  private _eject(now: number): void {
    const duration = Math.min(MAX_EJECTION_MS, INITIAL_EJECTION_MS * 2 ** this._ejections);
    this._ejections += 1;
    this._ejectedUntil = now + duration;
    this._state = "ejected";
    this._consecutiveFailures = 0;
    this._windowRequests = 0;
    this._windowFailures = 0;
  }

  private _recordInWindow(now: number, failed: boolean): void {
    if (now - this._windowStart > WINDOW_MS) {
      this._windowStart = now;
      this._windowRequests = 0;
      this._windowFailures = 0;
    }
    this._windowRequests += 1;
    this._windowFailures += failed ? 1 : 0;
  }
}
