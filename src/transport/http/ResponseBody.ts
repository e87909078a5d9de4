/**
 * Body of a response while it is received, so that a failure can say how much of it has arrived.
 */

/** Body of one response. */
export class ResponseBody {
  private readonly _chunks: Uint8Array[] = [];
  private _receivedBytes = 0;

  /** Number of bytes received so far. */
  get receivedBytes(): number {
    return this._receivedBytes;
  }

  /**
   * Appends the next chunk.
   * @param chunk - Bytes as received.
   */
  append(chunk: Uint8Array): void {
    this._chunks.push(chunk);
    this._receivedBytes += chunk.length;
  }

  /** Decodes the bytes received so far as UTF-8. */
  toText(): string {
    return Buffer.concat(this._chunks).toString("utf8");
  }
}
