/**
 * Derives the configuration operations that apply a document.
 */
import { isDeepStrictEqual } from "node:util";
import type { ConfigOperation } from "../protocol/config/ConfigChange.ts";
import type { ConfigDocument } from "../protocol/config/ConfigDocument.ts";

/**
 * Returns the operations for all values of a document that differ from those in force.
 * @param current - Document in force.
 * @param wanted - Document to apply.
 */
export function toOperations(
  current: ConfigDocument,
  wanted: ConfigDocument,
): readonly ConfigOperation[] {
  return [
    ...getChangedValues(current.profiles, wanted.profiles).map(
      ([name, profile]): ConfigOperation => ({
        kind: "set-profile",
        name,
        profile,
      }),
    ),
    ...getChangedValues(current.assignments, wanted.assignments).map(
      ([service, profile]): ConfigOperation => ({ kind: "set-assignment", service, profile }),
    ),
    ...getChangedValues(current.quotas, wanted.quotas).map(([tenant, quota]): ConfigOperation => ({
      kind: "set-quota",
      tenant,
      quota,
    })),
    ...getChangedValues(current.classes, wanted.classes).map(([name, limit]): ConfigOperation => ({
      kind: "set-class",
      name,
      limit,
    })),
    ...getChangedValues(current.heatLevels, wanted.heatLevels).map(
      ([zone, level]): ConfigOperation => ({
        kind: "set-heat-level",
        zone,
        level,
      }),
    ),
  ];
}

function getChangedValues<T>(
  current: Readonly<Record<string, T>>,
  wanted: Readonly<Record<string, T>>,
): readonly (readonly [string, T])[] {
  return Object.entries(wanted).filter(
    ([key, value]) => !(Object.hasOwn(current, key) && isDeepStrictEqual(current[key], value)),
  );
}
