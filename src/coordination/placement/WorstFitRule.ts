/**
 * Worst fit: prefers the VM with the most capacity left, so that tasks spread over the fleet.
 */
import type { Resources } from "../../protocol/Resources.ts";
import { FitRule, getResourceShare } from "./FitRule.ts";

/** Prefers the emptiest VM. */
export class WorstFitRule extends FitRule {
  override readonly searchOrder = "descending";

  override score(wanted: Resources, free: Resources, capacity: Resources): number {
    const processors = getResourceShare(
      free.processorsMilli - wanted.processorsMilli,
      capacity.processorsMilli,
    );
    const memory = getResourceShare(free.memoryBytes - wanted.memoryBytes, capacity.memoryBytes);
    return (processors + memory) / 2;
  }
}
