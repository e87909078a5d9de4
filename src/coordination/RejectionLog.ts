/**
 * Log of what others sent or stored and what cannot be used: one line for each, however often it is
 * read, with a reason of limited length.
 */
import type { Log } from "../protocol/platform/Log.ts";

/** Maximum number of subjects that are remembered; the earliest ones are forgotten. */
const MAX_SUBJECTS = 1_000;
const MAX_REASON_LENGTH = 500;
const MAX_SUBJECT_LENGTH = 300;

/** Logs rejections once. */
export class RejectionLog {
  private readonly _log: Log;
  private readonly _level: "warn" | "error";
  private readonly _reasons = new Map<string, string>();

  /**
   * Creates a log without remembered rejections.
   * @param log - Log for the lines.
   * @param level - Level of the lines.
   */
  constructor(log: Log, level: "warn" | "error") {
    this._log = log;
    this._level = level;
  }

  /**
   * Logs that something was rejected, unless the last rejection of the same subject had the same
   * sentence and reason.
   * @param sentence - What was rejected, and what follows.
   * @param field - Field that names the subject.
   * @param subject - Key or id of what was rejected.
   * @param reason - Why it was rejected.
   */
  add(sentence: string, field: string, subject: string, reason: string): void {
    const shortSubject = shorten(subject, MAX_SUBJECT_LENGTH);
    const shortReason = shorten(reason, MAX_REASON_LENGTH);
    const line = `${sentence} ${shortReason}`;
    if (this._reasons.get(shortSubject) === line) {
      return;
    }
    this._reasons.delete(shortSubject);
    this._reasons.set(shortSubject, line);
    const [earliest] = this._reasons.keys();
    if (earliest !== undefined && this._reasons.size > MAX_SUBJECTS) {
      this._reasons.delete(earliest);
    }
    this._log[this._level](sentence, { [field]: shortSubject, reason: shortReason });
  }
}

function shorten(text: string, maxLength: number): string {
  return text.length <= maxLength ? text : `${text.slice(0, maxLength)}...`;
}
