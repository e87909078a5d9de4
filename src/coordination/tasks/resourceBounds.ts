/**
 * Minimum and maximum of resource amounts, component by component.
 */
import type { Resources } from "../../protocol/Resources.ts";

/**
 * Returns the larger value of each component.
 * @param a - One amount.
 * @param b - The other amount.
 */
export function maxResources(a: Resources, b: Resources): Resources {
  return {
    processorsMilli: Math.max(a.processorsMilli, b.processorsMilli),
    memoryBytes: Math.max(a.memoryBytes, b.memoryBytes),
    accelerators: Math.max(a.accelerators, b.accelerators),
  };
}

/**
 * Returns the smaller value of each component.
 * @param a - One amount.
 * @param b - The other amount.
 */
export function minResources(a: Resources, b: Resources): Resources {
  return {
    processorsMilli: Math.min(a.processorsMilli, b.processorsMilli),
    memoryBytes: Math.min(a.memoryBytes, b.memoryBytes),
    accelerators: Math.min(a.accelerators, b.accelerators),
  };
}
