/**
 * History of configuration changes: its limits, the document at an earlier revision, and what the
 * history says about a single change.
 */
import type { ChangeOutcome } from "../../protocol/config/ConfigChange.ts";
import { getSettlePath } from "../../protocol/config/ConfigChange.ts";
import type { ConfigDocument } from "../../protocol/config/ConfigDocument.ts";
import type { StoredConfig } from "../../protocol/config/StoredConfig.ts";
import { withValue } from "./documentKeys.ts";

/** Maximum number of changes in the history. */
export const MAX_HISTORY_ENTRIES = 200;
/** Maximum size of the history, in bytes; the newest change is kept even if it exceeds this. */
export const MAX_HISTORY_BYTES = 131_072;
/** Maximum number of barred changes that are stored. */
export const MAX_BARRED_CHANGES = 500;

/**
 * Drops the oldest changes until the history is within its limits. The newest change is always
 * kept.
 * @param stored - The stored configuration.
 */
export function trimHistory(stored: StoredConfig): StoredConfig {
  const newest = stored.history.slice(-MAX_HISTORY_ENTRIES);
  const sizes = newest.map((entry) => Buffer.byteLength(JSON.stringify(entry)));
  const firstKept = newest.findIndex(
    (_, index) =>
      index === newest.length - 1 ||
      sizes.slice(index).reduce((sum, size) => sum + size, 0) <= MAX_HISTORY_BYTES,
  );
  const history = newest.slice(Math.max(firstKept, 0));
  const horizon = (history[0]?.revision ?? stored.revision + 1) - 1;
  return { ...stored, history, horizon };
}

/**
 * Returns the document as it was at a revision; undefined if the history does not reach back to it.
 * @param stored - The stored configuration.
 * @param revision - The revision.
 */
export function getDocumentAt(stored: StoredConfig, revision: number): ConfigDocument | undefined {
  if (revision > stored.revision || revision < stored.horizon) {
    return undefined;
  }
  return stored.history
    .filter((entry) => entry.revision > revision)
    .toReversed()
    .flatMap((entry) => entry.touched)
    .reduce((document, touched) => withValue(document, touched, touched.before), stored.document);
}

/**
 * Determines the outcome of a change from the stored configuration. "Refused" is reported only for
 * a barred change that would be in the history if it had taken effect.
 * @param stored - The stored configuration.
 * @param changeId - Id of the change.
 * @param sinceRevision - Revision that is known to precede the change.
 */
export function findChangeOutcome(
  stored: StoredConfig,
  changeId: string,
  sinceRevision: number,
): ChangeOutcome {
  const entry = stored.history.find((change) => change.changeId === changeId);
  if (entry !== undefined) {
    return { kind: "accepted", changeId, revision: entry.revision };
  }
  const settlePath = getSettlePath(changeId, sinceRevision);
  if (!isBarred(stored, changeId)) {
    const detail = "the change has not taken effect yet, but still may";
    return { kind: "unknown", changeId, detail, settlePath };
  }
  if (sinceRevision < stored.horizon) {
    const detail = `the change can no longer take effect; whether it did before is unknown, since the history begins after revision ${stored.horizon}`;
    return { kind: "unknown", changeId, detail, settlePath };
  }
  const detail = "the change has not taken effect and never will";
  return { kind: "refused", changeId, reason: "barred", detail, conflicts: [] };
}

/**
 * Returns whether a change is barred, that is, must not take effect any more.
 * @param stored - The stored configuration.
 * @param changeId - Id of the change.
 */
export function isBarred(stored: StoredConfig, changeId: string): boolean {
  return stored.barred.some((barred) => barred.changeId === changeId);
}

/**
 * Bars a change from taking effect.
 * @param stored - The stored configuration.
 * @param changeId - Id of the change.
 * @param at - Time as an ISO 8601 string.
 */
export function barChange(stored: StoredConfig, changeId: string, at: string): StoredConfig {
  const barred = [...stored.barred, { changeId, at }].slice(-MAX_BARRED_CHANGES);
  return { ...stored, barred };
}
