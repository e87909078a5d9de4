/**
 * All typed errors of the system. An error names the wrong value, its location and what is allowed.
 */

/** Base of all errors that the system throws. */
export abstract class FireflylbError extends Error {
  /** Stable code for scripts. */
  abstract readonly code: string;
}

/** A setting that is unknown, missing or invalid. */
export class SettingError extends FireflylbError {
  readonly code = "bad-setting";
  readonly file: string;
  readonly section: string;
  readonly key: string;
  readonly value: string;
  readonly allowed: string;

  /**
   * Creates the error.
   * @param problem - Location of the setting, its value and the allowed values.
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

/** An address on which a process cannot listen. */
export class ListenError extends FireflylbError {
  readonly code = "cannot-listen";

  /**
   * Creates the error.
   * @param setting - Setting that holds the address, as "[section] key".
   * @param address - The address.
   * @param reason - Error message of the operating system.
   */
  constructor(setting: string, address: string, reason: string) {
    super(`${setting} = ${address}: cannot listen: ${reason}`);
  }
}

/** A violated invariant; always a defect of the program. */
export class InvariantError extends FireflylbError {
  readonly code = "invariant-violated";
}
