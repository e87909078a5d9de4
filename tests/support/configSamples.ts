/**
 * Configuration samples for tests.
 */
import type { ConfigChange, ConfigOperation } from "../../src/protocol/config/ConfigChange.ts";
import type { Profile } from "../../src/protocol/config/ConfigDocument.ts";

/** A profile. */
export const SAMPLE_PROFILE: Profile = {
  headroomProcessorsMilli: 4000,
  headroomMemoryBytes: 1024,
  latencyObjectiveMs: 50,
  toleratedDisturbancePercent: 10,
  yieldOrder: ["throttle", "checkpoint", "evict"],
  throttleFloorPercent: 20,
  maxEvictionsPerMinute: 2,
  heat: [],
};

/**
 * Builds an operation that sets the heat level of a zone.
 * @param zone - The zone.
 * @param level - The level.
 */
export function createHeatOperation(zone: string, level: number): ConfigOperation {
  return { kind: "set-heat-level", zone, level };
}

/**
 * Builds a change.
 * @param changeId - Id of the change.
 * @param operations - What it does.
 * @param baseRevision - Revision that it is based on.
 */
export function createChange(
  changeId: string,
  operations: readonly ConfigOperation[],
  baseRevision?: number,
): ConfigChange {
  return { changeId, author: "desk", note: "", baseRevision, operations };
}
