/**
 * Timeout on the time without progress of a transfer: each sign of progress begins it anew, so that
 * it bounds how long the other side may be silent, whatever the size of the transfer. A stall of this
 * process does not count as silence: what arrived during it is read before the timeout acts.
 */

/** Timeout of one transfer; runs from its creation until it is stopped. */
export class ProgressTimeout {
  private readonly _controller = new AbortController();
  private readonly _timer: NodeJS.Timeout;
  /** Aborts once the event loop has read what had arrived when the time was over. */
  private _abort: NodeJS.Immediate | undefined;
  private _isStopped = false;

  /**
   * Starts the timeout.
   * @param timeoutMs - Longest time without progress, in milliseconds.
   */
  constructor(timeoutMs: number) {
    this._timer = setTimeout(() => {
      this._abort = setImmediate(() => {
        const message = `no progress within ${timeoutMs} ms`;
        this._controller.abort(new DOMException(message, "TimeoutError"));
      });
    }, timeoutMs);
  }

  /** Aborts with a `TimeoutError` when the time without progress has passed. */
  get signal(): AbortSignal {
    return this._controller.signal;
  }

  /**
   * Begins the time anew, as there is progress. Has no effect once the timeout is stopped: a chunk of
   * a request may still be taken after the response.
   */
  restart(): void {
    if (this._isStopped) {
      return;
    }
    clearImmediate(this._abort);
    this._timer.refresh();
  }

  /** Stops the timeout; nothing of it is left behind. */
  stop(): void {
    this._isStopped = true;
    clearImmediate(this._abort);
    clearTimeout(this._timer);
  }
}
