/**
 * Which live processes hold a revision of the configuration.
 */

/** Configuration revision that a live process reported last. */
export interface ProcessRevision {
  readonly role: "entry" | "agent";
  readonly name: string;
  readonly zone: string;
  readonly revision: number;
  /** Age of the report, in milliseconds. */
  readonly ageMs: number;
}

/** How far a revision has spread. */
export interface ConfigCoverage {
  readonly revision: number;
  readonly total: number;
  readonly holding: number;
  /** Whether every live process holds the revision or a later one. */
  readonly complete: boolean;
  /** Processes that do not hold the revision as far as is known. */
  readonly missing: readonly ProcessRevision[];
}

/**
 * Computes how far a revision has spread.
 * @param processes - Live processes with what they reported.
 * @param revision - The revision.
 */
export function computeCoverage(
  processes: readonly ProcessRevision[],
  revision: number,
): ConfigCoverage {
  const missing = processes
    .filter((process) => process.revision < revision)
    .toSorted((a, b) => a.role.localeCompare(b.role) || a.name.localeCompare(b.name));
  const total = processes.length;
  const holding = total - missing.length;
  return { revision, total, holding, complete: missing.length === 0, missing };
}
