/**
 * Best fit: prefers the VM that has the least left, so that large tasks keep finding room.
 */
import type { Resources } from "../../protocol/Resources.ts";
import { FitRule, getPartShare } from "./FitRule.ts";

/** Prefers full VMs. */
export class BestFitRule extends FitRule {
  override readonly searchOrder = "ascending";

  override rate(wanted: Resources, free: Resources, capacity: Resources): number {
    const processors = getPartShare(
      free.processorsMilli - wanted.processorsMilli,
      capacity.processorsMilli,
    );
    const memory = getPartShare(free.memoryBytes - wanted.memoryBytes, capacity.memoryBytes);
    return 1 - (processors + memory) / 2;
  }
}
