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
  private readonly _onRegistrationDue: () => void;
  private _isRegistered = false;
  /** Highest revision of the process's registrations and of the epochs that it follows. */
  private _revision = 0;
  private _number = 0;

  /**
   * Creates a token without a value.
   * @param onRegistrationDue - Called when the last token of a revision is taken, or the worker has
   * refused the present one; a later registration provides the next ones.
   */
  constructor(onRegistrationDue: () => void) {
    this._onRegistrationDue = onRegistrationDue;
  }

  /**
   * The present token; undefined while there is none that the worker may accept: before the process is
   * registered, and once the worker has refused the present one.
   */
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
   * Handles that the worker has refused a call for its token, so that it has not executed it. If a later
   * one of this process has taken its place, the worker has seen that one. Otherwise another process of
   * the agent has called it, and this one has no token until it is registered later than that one.
   * @param token - Token of the call.
   * @returns Whether there is another token, under which the call can be sent again.
   */
  handleRefusal(token: number): boolean {
    if (token === this.value) {
      this.withdraw();
      this._onRegistrationDue();
    }
    return this.value !== undefined;
  }

  /** Leaves the process without a token until it is registered again. */
  withdraw(): void {
    this._isRegistered = false;
  }

  /**
   * Takes a new token in place of one under which calls may be under way; does nothing if that is not
   * the present one. The last token of a revision stays until there is a later revision.
   * @param token - The token; the present one by default.
   */
  expire(token = this.value): void {
    if (token === undefined || token !== this.value || this._number === LAST_NUMBER) {
      return;
    }
    this._number += 1;
    if (this._number === LAST_NUMBER) {
      this._onRegistrationDue();
    }
  }
}
