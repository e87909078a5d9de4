/**
 * Exit codes of the program. They are stable, so that scripts can rely on them.
 */

/** Exit codes by meaning. */
export const ExitCode = {
  /** Success. */
  done: 0,
  /** Internal error of the program. */
  fault: 1,
  /** Unknown command, flag or argument. */
  usage: 2,
  /** A settings file, configuration file or job specification is invalid. */
  badFile: 3,
  /** Refused; nothing was changed. */
  refused: 4,
  /** The outcome is unknown; the message names the command that settles it. */
  unknown: 5,
  /** No entry was reachable, or none could serve the call; nothing was changed. */
  unavailable: 6,
  /** An address in the settings is in use or does not belong to this machine. */
  cannotListen: 7,
  /** A change was accepted, but --wait timed out before it was in force everywhere. */
  spreading: 8,
} as const;

export type ExitCodeValue = (typeof ExitCode)[keyof typeof ExitCode];

/** Meaning of each exit code for the documentation and the help. */
export const EXIT_CODE_MEANINGS: Readonly<Record<keyof typeof ExitCode, string>> = {
  done: "success",
  fault: "internal error of the program",
  usage: "unknown command, flag or argument",
  badFile: "a settings file, configuration file or job specification is invalid",
  refused: "refused; nothing was changed",
  unknown: "the outcome is unknown; the message names the command that settles it",
  unavailable: "no entry was reachable, or none could serve the call; nothing was changed",
  cannotListen: "an address in the settings is in use or does not belong to this machine",
  spreading: "the change was accepted, but --wait timed out before it was in force everywhere",
};
