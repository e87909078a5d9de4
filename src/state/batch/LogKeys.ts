/**
 * Store keys of a partition. The log is a ring buffer of slots: the value with sequence number n is
 * stored in slot n modulo the number of slots. It overwrites the value of the previous cycle
 * through the ring by compare-and-swap, so that nothing has to be deleted.
 */

/** Number of slots of a partition's log; must not change while the store holds jobs. */
export const LOG_SLOTS = 256;

/** Prefix of the keys that name the owners of partitions. */
export const OWNER_PREFIX = "partition-owner/";

/** Prefix of the keys under which entries register. */
export const ENTRY_PREFIX = "entries/";

/**
 * Gets the key of a log value.
 * @param partition - Number of the partition.
 * @param sequence - Sequence number of the value.
 */
export function getLogKey(partition: number, sequence: number): string {
  return `partition/${partition}/log/${sequence % LOG_SLOTS}`;
}

/**
 * Gets the key that names the newest snapshot.
 * @param partition - Number of the partition.
 */
export function getHeadKey(partition: number): string {
  return `partition/${partition}/head`;
}

/**
 * Gets the prefix of all snapshot chunks.
 * @param partition - Number of the partition.
 */
export function getChunkPrefix(partition: number): string {
  return `partition/${partition}/snapshot/`;
}

/**
 * Gets the key of a snapshot chunk.
 * @param partition - Number of the partition.
 * @param snapshot - Id of the snapshot.
 * @param index - Number of the chunk, from 0.
 */
export function getChunkKey(partition: number, snapshot: string, index: number): string {
  return `${getChunkPrefix(partition)}${snapshot}/${index}`;
}

/**
 * Gets the key that names the owner of a partition.
 * @param partition - Number of the partition.
 */
export function getOwnerKey(partition: number): string {
  return `${OWNER_PREFIX}${partition}`;
}
