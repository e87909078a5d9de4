/**
 * Highest epoch seen of each partition. A message with a lower epoch is from a superseded owner.
 */

/** Highest epochs seen, by partition. */
export class PartitionEpochs {
  private readonly _epochs = new Map<number, number>();

  /**
   * Records an epoch.
   * @param partition - The partition.
   * @param epoch - Epoch of a message.
   * @returns Whether the epoch is current, that is, not below the highest one seen.
   */
  observe(partition: number, epoch: number): boolean {
    const known = this.get(partition);
    if (epoch < known) {
      return false;
    }
    this._epochs.set(partition, epoch);
    return true;
  }

  /**
   * Gets the highest epoch seen of a partition; 0 if none was seen.
   * @param partition - The partition.
   */
  get(partition: number): number {
    return this._epochs.get(partition) ?? 0;
  }
}
