/**
 * Bounds of amounts, part by part.
 */
import type { Resources } from "../../protocol/Resources.ts";

/**
 * Gives the larger of each part.
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
 * Gives the smaller of each part.
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
