/**
 * Best fit: prefers the VM with the least capacity left, so that large tasks still find a VM.
 */
import type { Resources } from "../../protocol/Resources.ts";
import { FitRule, getResourceShare } from "./FitRule.ts";

/** Prefers the fullest VM. */
export class BestFitRule extends FitRule {
  override readonly searchOrder = "ascending";

  override score(wanted: Resources, free: Resources, capacity: Resources): number {
    const processors = getResourceShare(
      free.processorsMilli - wanted.processorsMilli,
      capacity.processorsMilli,
    );
    const memory = getResourceShare(free.memoryBytes - wanted.memoryBytes, capacity.memoryBytes);
    return 1 - (processors + memory) / 2;
  }
}
