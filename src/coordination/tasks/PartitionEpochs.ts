/**
 * Highest epoch seen of each partition. A message with a lower epoch comes from an owner that has
 * been replaced.
 */

/** Epochs by partition. */
export class PartitionEpochs {
  private readonly _epochs = new Map<number, number>();

  /**
   * Takes in an epoch.
   * @param partition - The partition.
   * @param epoch - Epoch of a message.
   * @returns Whether the epoch is current: at least the highest seen.
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
   * Gives the highest epoch seen of a partition; 0 where none was seen.
   * @param partition - The partition.
   */
  get(partition: number): number {
    return this._epochs.get(partition) ?? 0;
  }
}
