/**
 * Configuration samples for tests.
 */
import type { ConfigChange, ConfigOperation } from "../../src/protocol/config/ConfigChange.ts";
import type { Profile } from "../../src/protocol/config/ConfigDocument.ts";

/** Sample profile. */
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
 * Creates an operation that sets the heat level of a zone.
 * @param zone - Name of the zone.
 * @param level - Heat level.
 */
export function createHeatOperation(zone: string, level: number): ConfigOperation {
  return { kind: "set-heat-level", zone, level };
}

/**
 * Creates a change.
 * @param changeId - Id of the change.
 * @param operations - Operations of the change.
 * @param baseRevision - Revision on which the change is based.
 */
export function createChange(
  changeId: string,
  operations: readonly ConfigOperation[],
  baseRevision?: number,
): ConfigChange {
  return { changeId, author: "desk", note: "", baseRevision, operations };
}
