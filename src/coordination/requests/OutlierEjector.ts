/**
 * Ejection of a backend server that fails what it is sent, so that fast failures do not attract
 * load. A server is ejected on consecutive failures or a high share of failures in a window, stays
 * out for a time that doubles with each ejection, and comes back through single probes.
 */

/** State of a server towards the choice. */
export type EjectionState = "in" | "ejected" | "probing";

/** Failures in a row that eject a server. */
const CONSECUTIVE_FAILURES = 5;
/** Share of failures in a window that ejects a server. */
const FAILURE_SHARE = 0.5;
const MIN_WINDOW_REQUESTS = 20;
const WINDOW_MS = 5_000;
const FIRST_EJECTION_MS = 2_000;
const MAX_EJECTION_MS = 60_000;
/** Successful probes in a row that bring a server back. */
const PROBES_TO_READMIT = 3;

/** Ejection of one backend server as one entry sees it. */
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
   * Gives the state at a time.
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
   * Tells whether the server may get a request: when in, always; when probing, one at a time.
   * @param now - Monotonic time in milliseconds.
   */
  isAvailable(now: number): boolean {
    const state = this.getState(now);
    return state === "in" || (state === "probing" && !this._probeInFlight);
  }

  /** Notes that a request goes to the server. */
  recordSent(): void {
    if (this._state === "probing") {
      this._probeInFlight = true;
    }
  }

  /**
   * Notes an answer that is not a failure of the server.
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
   * Notes a failure of the server.
   * @param now - Monotonic time in milliseconds.
   */
  recordFailure(now: number): void {
    this._consecutiveFailures += 1;
    this._recordInWindow(now, true);
    if (this._state === "probing" || (this._state === "in" && this._isFailing())) {
      this._eject(now);
    }
  }

  /** Notes that a request ended without telling anything about the server. */
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
    const duration = Math.min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2 ** this._ejections);
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
