/**
 * Rules for choosing among the VMs that have enough free capacity for a task.
 */
import type { Resources } from "../../protocol/Resources.ts";

/** Order in which VMs are examined, by free processors. */
export type SearchOrder = "ascending" | "descending" | "random";

/** Scores how well a task fits a VM. */
export abstract class FitRule {
  /** Order in which VMs are examined. */
  abstract readonly searchOrder: SearchOrder;

  /**
   * Scores a VM for a task, from 0 to 1; higher is better.
   * @param wanted - Resources that the task requests.
   * @param free - Free resources of the VM.
   * @param capacity - Capacity of the VM.
   */
  abstract score(wanted: Resources, free: Resources, capacity: Resources): number;
}

/**
 * Gets an amount of one resource as a share of the capacity; 0 if the capacity is 0.
 * @param amount - The amount.
 * @param capacity - The capacity of the same resource.
 */
export function getResourceShare(amount: number, capacity: number): number {
  return capacity > 0 ? amount / capacity : 0;
}
