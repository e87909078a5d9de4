/**
 * Rules by which a VM is chosen among those that have room for a task.
 */
import type { Resources } from "../../protocol/Resources.ts";

/** Order in which VMs are looked at, by free processors. */
export type SearchOrder = "ascending" | "descending" | "random";

/** Rates how well a task fits a VM. */
export abstract class FitRule {
  /** Order in which VMs are looked at. */
  abstract readonly searchOrder: SearchOrder;

  /**
   * Rates a fit; higher is better, from 0 to 1.
   * @param wanted - Amount that the task asks for.
   * @param free - Amount that is free on the VM.
   * @param capacity - Amount that the VM has.
   */
  abstract score(wanted: Resources, free: Resources, capacity: Resources): number;
}

/**
 * Gives the share of a part that an amount takes; 0 where the VM has nothing of it.
 * @param amount - The amount.
 * @param capacity - What the VM has.
 */
export function getResourceShare(amount: number, capacity: number): number {
  return capacity > 0 ? amount / capacity : 0;
}
