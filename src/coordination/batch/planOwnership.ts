/**
 * Decides which partitions an entry should take over or hand over, so that the live entries own
 * about the same number. Partitions move only where an entry has more than its share.
 */

/** What one entry knows of the ownership. */
export interface OwnershipInput {
  readonly partitions: number;
  /** Names of the live entries, this one included. */
  readonly entries: readonly string[];
  readonly entry: string;
  /** Owners by partition; a partition without an owner is absent. */
  readonly owners: ReadonlyMap<number, string>;
}

/** What an entry should do. */
export interface OwnershipPlan {
  /** Free partitions to take over now. */
  readonly acquire: readonly number[];
  /** Partition to hand over; undefined where none. */
  readonly release: number | undefined;
}

/**
 * Plans the next moves of an entry.
 * @param input - What it knows.
 */
export function planOwnership(input: OwnershipInput): OwnershipPlan {
  const { partitions, entry, owners } = input;
  const entries = [...new Set([...input.entries, entry])].toSorted();
  const share = Math.ceil(partitions / entries.length);
  const all = Array.from({ length: partitions }, (_, partition) => partition);
  const own = all.filter((partition) => owners.get(partition) === entry);
  const free = all.filter((partition) => !owners.has(partition));
  // Each entry begins at another free partition, so that they seldom want the same one.
  const first = Math.floor((entries.indexOf(entry) * free.length) / entries.length);
  const rotated = [...free.slice(first), ...free.slice(0, first)];
  const acquire = rotated.slice(0, Math.max(0, share - own.length));
  const isOthersShort = entries.some(
    (other) => countOwned(owners, other) < Math.floor(partitions / entries.length),
  );
  const release =
    own.length > share || (isOthersShort && own.length === share) ? own.at(-1) : undefined;
  return {
    acquire,
    release: free.length === 0 && own.length > 1 ? release : undefined,
  };
}

function countOwned(owners: ReadonlyMap<number, string>, entry: string): number {
  return [...owners.values()].filter((owner) => owner === entry).length;
}
