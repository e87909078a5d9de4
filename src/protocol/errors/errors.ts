/**
 * All typed errors of the system. An error names what was wrong, where, and what is allowed.
 */

/** Base of all errors that the system raises itself. */
export abstract class FireflylbError extends Error {
  /** Stable code for scripts. */
  abstract readonly code: string;
}

/** A setting that is unknown, missing or has a bad value. */
export class SettingError extends FireflylbError {
  readonly code = "bad-setting";
  readonly file: string;
  readonly section: string;
  readonly key: string;
  readonly value: string;
  readonly allowed: string;

  /**
   * Creates the error.
   * @param problem - Where the setting stands, what it says and what is allowed.
   */
  constructor(problem: {
    readonly file: string;
    readonly section: string;
    readonly key: string;
    readonly value: string;
    readonly allowed: string;
  }) {
    super(
      `${problem.file}: [${problem.section}] ${problem.key} = ${problem.value}: expected ${problem.allowed}`,
    );
    this.file = problem.file;
    this.section = problem.section;
    this.key = problem.key;
    this.value = problem.value;
    this.allowed = problem.allowed;
  }
}

/** An address on which a process could not listen. */
export class ListenError extends FireflylbError {
  readonly code = "cannot-listen";

  /**
   * Creates the error.
   * @param setting - Setting that holds the address, as "[section] key".
   * @param address - The address.
   * @param reason - What the system said.
   */
  constructor(setting: string, address: string, reason: string) {
    super(`${setting} = ${address}: cannot listen: ${reason}`);
  }
}

/** A state that the code rules out; always a defect. */
export class InvariantError extends FireflylbError {
  readonly code = "invariant-violated";
}
