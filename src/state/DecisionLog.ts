/**
 * The last decisions of one process with their reasons, so that an operator can ask why something
 * happened. The log is bounded for each subject and as a whole.
 */

/** A decision with its reason. */
export interface DecisionEntry {
  /** When the decision was made, on this process's monotonic clock, in milliseconds. */
  readonly at: number;
  /** What the decision is about, as in "vm/rota-3" or "task/a1". */
  readonly subject: string;
  readonly decision: string;
  readonly reason: string;
}

/** Bounds of a decision log. */
export interface DecisionLogLimits {
  readonly maxSubjects: number;
  readonly maxEntriesPerSubject: number;
}

const DEFAULT_LIMITS: DecisionLogLimits = { maxSubjects: 2000, maxEntriesPerSubject: 20 };

/** Bounded log of decisions; the subject that was silent longest is dropped first. */
export class DecisionLog {
  private readonly _entries = new Map<string, readonly DecisionEntry[]>();
  private readonly _limits: DecisionLogLimits;

  /**
   * Creates an empty log.
   * @param limits - Bounds of the log.
   */
  constructor(limits: DecisionLogLimits = DEFAULT_LIMITS) {
    this._limits = limits;
  }

  /**
   * Notes a decision.
   * @param entry - The decision.
   */
  record(entry: DecisionEntry): void {
    const known = this._entries.get(entry.subject) ?? [];
    this._entries.delete(entry.subject);
    this._entries.set(entry.subject, [...known, entry].slice(-this._limits.maxEntriesPerSubject));
    this._dropOldestSubject();
  }

  /**
   * Gives the decisions about a subject, oldest first.
   * @param subject - The subject.
   */
  getEntries(subject: string): readonly DecisionEntry[] {
    return this._entries.get(subject) ?? [];
  }

  /** Gives the subjects that have entries, the one that was silent longest first. */
  getSubjects(): readonly string[] {
    return [...this._entries.keys()];
  }

  private _dropOldestSubject(): void {
    if (this._entries.size <= this._limits.maxSubjects) {
      return;
    }
    const [oldest] = this._entries.keys();
    if (oldest !== undefined) {
      this._entries.delete(oldest);
    }
  }
}
