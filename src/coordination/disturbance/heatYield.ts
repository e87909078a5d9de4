/**
 * How batch work on a VM yields at a heat level, from the profiles of all services on the VM: the
 * strictest one applies.
 */
import type { HeatYield, Profile } from "../../protocol/config/ConfigDocument.ts";

/** How batch work on a VM yields to heat. */
export type VmHeatYield = Omit<HeatYield, "level">;

const NO_YIELD: VmHeatYield = { startTasks: true, throttlePercent: 100, evict: false };

/**
 * Returns how batch work yields at a heat level.
 * @param profiles - Profiles of the services on the VM.
 * @param level - Heat level of the VM.
 */
export function getHeatYield(profiles: readonly Profile[], level: number): VmHeatYield {
  return profiles
    .map((profile) => profile.heat.findLast((step) => step.level <= level) ?? NO_YIELD)
    .reduce<VmHeatYield>(
      (strictest, step) => ({
        startTasks: strictest.startTasks && step.startTasks,
        throttlePercent: Math.min(strictest.throttlePercent, step.throttlePercent),
        evict: strictest.evict || step.evict,
      }),
      NO_YIELD,
    );
}
