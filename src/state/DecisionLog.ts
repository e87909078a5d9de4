/**
 * The latest decisions of one process with their reasons, so that an operator can find out why
 * something happened. The number of subjects and of entries per subject is bounded.
 */

/** A decision with its reason. */
export interface DecisionEntry {
  /** Time of the decision on the monotonic clock of this process, in milliseconds. */
  readonly at: number;
  /** Subject of the decision, such as "vm/rota-3" or "task/a1". */
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

/** Bounded log of decisions; the least recently recorded subject is evicted first. */
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
   * Records a decision.
   * @param entry - The decision.
   */
  record(entry: DecisionEntry): void {
    const known = this._entries.get(entry.subject) ?? [];
    this._entries.delete(entry.subject);
    this._entries.set(entry.subject, [...known, entry].slice(-this._limits.maxEntriesPerSubject));
    this._dropOldestSubject();
  }

  /**
   * Gets the decisions about a subject, oldest first.
   * @param subject - The subject.
   */
  getEntries(subject: string): readonly DecisionEntry[] {
    return this._entries.get(subject) ?? [];
  }

  /** Gets the subjects that have entries, the least recently recorded first. */
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
