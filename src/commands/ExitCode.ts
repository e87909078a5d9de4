/**
 * Exit codes of the program. They are stable: scripts may rely on them.
 */

/** Exit codes by meaning. */
export const ExitCode = {
  /** Done as asked. */
  done: 0,
  /** A fault inside the program. */
  fault: 1,
  /** Unknown command, flag or argument. */
  usage: 2,
  /** A settings file, configuration file or job specification has a fault. */
  badFile: 3,
  /** Refused; nothing was changed. */
  refused: 4,
  /** The outcome is unknown; the message names the command that settles it. */
  unknown: 5,
  /** No entry could be reached or none could serve now; nothing was changed. */
  unavailable: 6,
  /** An address of the settings is taken or not of this machine. */
  cannotListen: 7,
  /** A change was accepted, but --wait ended before it was in force everywhere. */
  spreading: 8,
} as const;

export type ExitCodeValue = (typeof ExitCode)[keyof typeof ExitCode];

/** Meaning of each exit code, as pages and help state it. */
export const EXIT_CODE_MEANINGS: Readonly<Record<keyof typeof ExitCode, string>> = {
  done: "done as asked",
  fault: "a fault inside the program",
  usage: "unknown command, flag or argument",
  badFile: "a settings file, configuration file or job specification has a fault",
  refused: "refused; nothing was changed",
  unknown: "the outcome is unknown; the message names the command that settles it",
  unavailable: "no entry could be reached or none could serve now; nothing was changed",
  cannotListen: "an address of the settings is taken or not of this machine",
  spreading: "the change is accepted, but --wait ended before it was in force everywhere",
};
