/**
 * Configuration coverage: which live processes have a revision of the configuration in force.
 */

/** Configuration revision last reported by a live process. */
export interface ProcessRevision {
  readonly role: "entry" | "agent";
  readonly name: string;
  readonly zone: string;
  readonly revision: number;
  /** Age of the report, in milliseconds. */
  readonly ageMs: number;
}

/** Coverage of a revision across the live processes. */
export interface ConfigCoverage {
  readonly revision: number;
  readonly total: number;
  readonly holding: number;
  /** Whether every live process has the revision or a later one. */
  readonly complete: boolean;
  /** Processes that are not known to have the revision. */
  readonly missing: readonly ProcessRevision[];
}

/**
 * Computes the coverage of a revision.
 * @param processes - Live processes with the revisions that they reported.
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
