/**
 * Alignment: prefers the VM whose free resources have the same proportions as the task's request,
 * so that no resource runs out long before the others.
 */
import type { Resources } from "../../protocol/Resources.ts";
import { FitRule, getResourceShare } from "./FitRule.ts";

/** Prefers VMs whose free resources match the proportions of the task's request. */
export class AlignmentRule extends FitRule {
  override readonly searchOrder = "ascending";

  override score(wanted: Resources, free: Resources, capacity: Resources): number {
    const wantedProcessors = getResourceShare(wanted.processorsMilli, capacity.processorsMilli);
    const wantedMemory = getResourceShare(wanted.memoryBytes, capacity.memoryBytes);
    const freeProcessors = getResourceShare(free.processorsMilli, capacity.processorsMilli);
    const freeMemory = getResourceShare(free.memoryBytes, capacity.memoryBytes);
    const lengths =
      Math.hypot(wantedProcessors, wantedMemory) * Math.hypot(freeProcessors, freeMemory);
    const product = wantedProcessors * freeProcessors + wantedMemory * freeMemory;
    return lengths > 0 ? product / lengths : 0;
  }
}
