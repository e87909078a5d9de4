/**
 * Decides which partitions an entry should take over or hand over, so that the live entries own
 * about the same number of partitions. An entry hands a partition over only while none is free, and
 * only if it owns more than its share, or exactly its share while another entry is below it.
 */

/** Ownership of the partitions as one entry knows it. */
export interface OwnershipInput {
  readonly partitions: number;
  /** Names of the live entries, including this one. */
  readonly entries: readonly string[];
  readonly entry: string;
  /** Owners by partition; partitions without an owner are absent. */
  readonly owners: ReadonlyMap<number, string>;
}

/** Partitions that an entry should take over or hand over. */
export interface OwnershipPlan {
  /** Free partitions to take over now. */
  readonly acquire: readonly number[];
  /** Partition to hand over; undefined if there is none. */
  readonly release: number | undefined;
}

/**
 * Plans the next ownership changes of an entry.
 * @param input - Ownership as the entry knows it.
 */
export function planOwnership(input: OwnershipInput): OwnershipPlan {
  const { partitions, entry, owners } = input;
  const entries = [...new Set([...input.entries, entry])].toSorted();
  const share = Math.ceil(partitions / entries.length);
  const all = Array.from({ length: partitions }, (_, partition) => partition);
  const own = all.filter((partition) => owners.get(partition) === entry);
  const free = all.filter((partition) => !owners.has(partition));
  // Each entry starts at a different free partition, so that they rarely contend for the same one.
  const first = Math.floor((entries.indexOf(entry) * free.length) / entries.length);
  const rotated = [...free.slice(first), ...free.slice(0, first)];
  const acquire = rotated.slice(0, Math.max(0, share - own.length));
  const isOtherBelowShare = entries.some(
    (other) => countOwned(owners, other) < Math.floor(partitions / entries.length),
  );
  const release =
    own.length > share || (isOtherBelowShare && own.length === share) ? own.at(-1) : undefined;
  return {
    acquire,
    release: free.length === 0 && own.length > 1 ? release : undefined,
  };
}

function countOwned(owners: ReadonlyMap<number, string>, entry: string): number {
  return [...owners.values()].filter((owner) => owner === entry).length;
}
