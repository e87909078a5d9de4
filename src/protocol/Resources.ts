/**
 * Resource amounts of VMs and tasks (processors, memory, accelerators) and their arithmetic.
 */

/** Amounts that a VM has or a task requests. */
export interface Resources {
  /** Processors, in thousandths of a core. */
  readonly processorsMilli: number;
  /** Memory, in bytes. */
  readonly memoryBytes: number;
  /** Whole accelerators. */
  readonly accelerators: number;
}

/** Zero of every resource. */
export const NO_RESOURCES: Resources = { processorsMilli: 0, memoryBytes: 0, accelerators: 0 };

/**
 * Adds two amounts.
 * @param a - First amount.
 * @param b - Second amount.
 */
export function addResources(a: Resources, b: Resources): Resources {
  return {
    processorsMilli: a.processorsMilli + b.processorsMilli,
    memoryBytes: a.memoryBytes + b.memoryBytes,
    accelerators: a.accelerators + b.accelerators,
  };
}

/**
 * Subtracts one amount from another; single resources may become negative.
 * @param a - Amount to subtract from.
 * @param b - Amount to subtract.
 */
export function subtractResources(a: Resources, b: Resources): Resources {
  return {
    processorsMilli: a.processorsMilli - b.processorsMilli,
    memoryBytes: a.memoryBytes - b.memoryBytes,
    accelerators: a.accelerators - b.accelerators,
  };
}

/**
 * Returns whether a requested amount fits into the free amount.
 * @param wanted - Requested amount.
 * @param free - Free amount.
 */
export function fits(wanted: Resources, free: Resources): boolean {
  return (
    wanted.processorsMilli <= free.processorsMilli &&
    wanted.memoryBytes <= free.memoryBytes &&
    wanted.accelerators <= free.accelerators
  );
}
