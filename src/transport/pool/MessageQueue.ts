/**
 * Queue of outgoing messages of one stream: messages are added at any time, and the stream reads
 * them as an async iterable.
 */

/** Queue with one reader. */
export class MessageQueue<T> implements AsyncIterable<T> {
  private _messages: readonly T[] = [];
  private _hasEnded = false;
  private _wake: (() => void) | undefined;

  /**
   * Adds a message; one that is added after the end is dropped.
   * @param message - The message.
   */
  add(message: T): void {
    if (!this._hasEnded) {
      this._messages = [...this._messages, message];
      this._wake?.();
    }
  }

  /** Ends the stream after the messages that were added before. */
  end(): void {
    this._hasEnded = true;
    this._wake?.();
  }

  async *[Symbol.asyncIterator](): AsyncGenerator<T> {
    while (!this._hasEnded || this._messages.length > 0) {
      const messages = this._messages;
      this._messages = [];
      yield* messages;
      await this._waitForMessage();
    }
  }

  private async _waitForMessage(): Promise<void> {
    if (this._messages.length > 0 || this._hasEnded) {
      return;
    }
    await new Promise<void>((resolve) => {
      this._wake = resolve;
    });
    this._wake = undefined;
  }
}
