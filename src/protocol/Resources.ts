/**
 * Amounts of processors, memory and accelerators, of a VM or of a task, and their arithmetic.
 */

/** Amounts that a VM has or a task asks for. */
export interface Resources {
  /** Processors, in thousandths of a core. */
  readonly processorsMilli: number;
  /** Memory, in bytes. */
  readonly memoryBytes: number;
  /** Whole accelerators. */
  readonly accelerators: number;
}

/** Nothing of anything. */
export const NO_RESOURCES: Resources = { processorsMilli: 0, memoryBytes: 0, accelerators: 0 };

/**
 * Adds two amounts.
 * @param a - One amount.
 * @param b - The other amount.
 */
export function addResources(a: Resources, b: Resources): Resources {
  return {
    processorsMilli: a.processorsMilli + b.processorsMilli,
    memoryBytes: a.memoryBytes + b.memoryBytes,
    accelerators: a.accelerators + b.accelerators,
  };
}

/**
 * Takes one amount from another; a part may become negative.
 * @param a - Amount to take from.
 * @param b - Amount to take.
 */
export function subtractResources(a: Resources, b: Resources): Resources {
  return {
    processorsMilli: a.processorsMilli - b.processorsMilli,
    memoryBytes: a.memoryBytes - b.memoryBytes,
    accelerators: a.accelerators - b.accelerators,
  };
}

/**
 * Tells whether an amount fits into what is free.
 * @param wanted - Amount asked for.
 * @param free - Amount that is free.
 */
export function fits(wanted: Resources, free: Resources): boolean {
  return (
    wanted.processorsMilli <= free.processorsMilli &&
    wanted.memoryBytes <= free.memoryBytes &&
    wanted.accelerators <= free.accelerators
  );
}
