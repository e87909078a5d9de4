/**
 * Applies entries of the store one by one. They are written by many, and one whose handling throws
 * must not take those after it along.
 */
import type { StoreChange } from "../../protocol/platform/Store.ts";
import type { RecordError } from "./records.ts";

/**
 * Applies each entry.
 * @param entries - The entries.
 * @param apply - Applies one.
 * @param onFailed - Called with the key of an entry whose handling threw.
 */
export function applyEach(
  entries: readonly StoreChange[],
  apply: (entry: StoreChange) => void,
  onFailed: (key: string, reason: RecordError) => void,
): void {
  entries.forEach((entry) => {
    try {
      apply(entry);
    } catch (cause) {
      onFailed(entry.key, { detail: String(cause) });
    }
  });
}
