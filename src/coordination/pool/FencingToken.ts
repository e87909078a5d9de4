/**
 * The fencing token that an agent sends with each call to its worker. A worker does nothing for a
 * token lower than the highest that it has seen, so that the first call which it executes under a new
 * token bars all calls that were sent before, wherever they are. A call names a worker by its id only:
 * without a new token, one without a response may be executed by the next incarnation.
 *
 * Tokens rise over all processes of an agent: the registration of a process in the store has a later
 * revision than whatever the process before it was told of, and the election of a scheduler has a
 * later one than whatever was known before it.
 */

/** Number of tokens of a revision. */
const TOKENS_PER_REVISION = 4_096;
const LAST_NUMBER = TOKENS_PER_REVISION - 1;
/** Highest revision of which all tokens are represented exactly. */
const MAX_REVISION = Math.floor(Number.MAX_SAFE_INTEGER / TOKENS_PER_REVISION) - 1;

/** Fencing token of one process of an agent. */
export class FencingToken {
  private readonly _onExhausted: () => void;
  private _isRegistered = false;
  /** Highest revision of the process's registrations and of the epochs that it follows. */
  private _revision = 0;
  private _number = 0;

  /**
   * Creates a token without a value.
   * @param onExhausted - Called when the last token of a revision is taken; a new registration
   * provides the next ones.
   */
  constructor(onExhausted: () => void) {
    this._onExhausted = onExhausted;
  }

  /** The present token; undefined before the process is registered, as it might be too low. */
  get value(): number | undefined {
    return this._isRegistered ? this._revision * TOKENS_PER_REVISION + this._number : undefined;
  }

  /**
   * Handles that the process is registered.
   * @param revision - Revision of the registration.
   */
  register(revision: number): void {
    this._isRegistered = true;
    this.advance(revision);
  }

  /**
   * Takes a new token, of a later revision if the given one is.
   * @param revision - Revision of a registration, or epoch of a scheduler.
   */
  advance(revision: number): void {
    const bounded = Math.min(revision, MAX_REVISION);
    if (bounded > this._revision) {
      this._revision = bounded;
      this._number = 0;
    } else {
      this.expire();
    }
  }

  /**
   * Returns whether a later token has taken the place of one under which a call was sent. A worker that
   * refuses the call then has seen that one; it shows no other caller.
   * @param token - The token.
   */
  isOutdated(token: number): boolean {
    return token !== this.value;
  }

  /**
   * Takes a new token in place of one under which calls may be under way; does nothing if that is not
   * the present one. The last token of a revision stays until there is a later revision.
   * @param token - The token; the present one by default.
   */
  expire(token = this.value): void {
    if (token === undefined || this.isOutdated(token) || this._number === LAST_NUMBER) {
      return;
    }
    this._number += 1;
    if (this._number === LAST_NUMBER) {
      this._onExhausted();
    }
  }
}
