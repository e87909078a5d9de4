/**
 * One HTTP exchange with the next hop whose response is streamed, with back-pressure, to the response
 * of this hop. Subclasses handle the head, the end and a failure.
 */
import type { IncomingHttpHeaders, ServerResponse } from "node:http";
import type { Dispatcher } from "undici";

const MIN_FINAL_STATUS = 200;

/** Failure of an exchange and the progress made before it. */
export interface RelayFailure {
  readonly reason: Error;
  /** Whether any byte of the request may have left this process. */
  readonly mayHaveBeenSent: boolean;
  /** Whether the head of the response had arrived. */
  readonly headReceived: boolean;
}

/** Handler of one exchange. */
export abstract class RelayHandler implements Dispatcher.DispatchHandler {
  private _controller: Dispatcher.DispatchController | undefined;
  private _abortReason: Error | undefined;
  private _target: ServerResponse | undefined;
  private _headReceived = false;

  /** Whether any byte of the request may have left this process. */
  get mayHaveBeenSent(): boolean {
    return this._controller !== undefined;
  }

  /** Whether the head of the response has arrived. */
  get headReceived(): boolean {
    return this._headReceived;
  }

  /**
   * Aborts the exchange; `onFailure` is called as for any other failure.
   * @param reason - Error that is reported.
   */
  abort(reason: Error): void {
    this._abortReason = reason;
    this._controller?.abort(reason);
  }

  /** Reads and discards the rest of the response. */
  discard(): void {
    this._target = undefined;
    this._controller?.resume();
  }

  /** @internal */
  onRequestStart(controller: Dispatcher.DispatchController): void {
    if (this._abortReason !== undefined) {
      controller.abort(this._abortReason);
      return;
    }
    this._controller = controller;
  }

  /** @internal */
  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    if (status < MIN_FINAL_STATUS) {
      return;
    }
    this._headReceived = true;
    this._target = this.onHead(status, headers);
    this._target?.on("drain", () => {
      controller.resume();
    });
  }

  /** @internal */
  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this._target?.write(chunk) === false) {
      controller.pause();
    }
  }

  /** @internal */
  onResponseEnd(): void {
    this._target?.end();
    this.onEnd();
  }

  /** @internal */
  onResponseError(_controller: Dispatcher.DispatchController, reason: Error): void {
    this.onFailure({
      reason,
      mayHaveBeenSent: this.mayHaveBeenSent,
      headReceived: this._headReceived,
    });
  }

  /**
   * Handles the head of the response.
   * @param status - HTTP status.
   * @param headers - Headers as received.
   * @returns Response to which the body is streamed; undefined to discard the body.
   */
  protected abstract onHead(
    status: number,
    headers: IncomingHttpHeaders,
  ): ServerResponse | undefined;

  /** Called once when the whole response has arrived. */
  protected abstract onEnd(): void;

  /**
   * Called once when the exchange has failed.
   * @param failure - Failure and the progress made before it.
   */
  protected abstract onFailure(failure: RelayFailure): void;
}
