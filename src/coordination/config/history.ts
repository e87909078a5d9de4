/**
 * The history of changes: its bounds, the document as it was at an earlier revision, and what the
 * history tells of a single change.
 */
import type { ChangeOutcome } from "../../protocol/config/ConfigChange.ts";
import { getSettlePath } from "../../protocol/config/ConfigChange.ts";
import type { ConfigDocument } from "../../protocol/config/ConfigDocument.ts";
import type { StoredConfig } from "../../protocol/config/StoredConfig.ts";
import { withValue } from "./documentKeys.ts";

/** Most changes that the history keeps. */
export const MAX_HISTORY_ENTRIES = 200;
/** Longest history besides its newest change, in bytes. */
export const MAX_HISTORY_BYTES = 131_072;
/** Most barred changes that are kept. */
export const MAX_BARRED_CHANGES = 500;

/**
 * Drops the oldest changes until the history is within its bounds; the newest stays.
 * @param stored - The configuration.
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
 * Gives the document as it was at a revision; undefined where the history does not reach it.
 * @param stored - The configuration.
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
    .reduce((document, at) => withValue(document, at, at.before), stored.document);
}

/**
 * Tells what the stored configuration says of a change. "Refused" is said only of a barred change
 * that would be in the history if it had taken effect.
 * @param stored - The configuration.
 * @param changeId - Id of the change.
 * @param sinceRevision - Revision that is certainly older than the change.
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
    const detail = "the change has not taken effect so far, but still may";
    return { kind: "unknown", changeId, detail, settlePath };
  }
  if (sinceRevision < stored.horizon) {
    const detail = `the change takes no effect from now on; the history begins after revision ${stored.horizon} and does not tell whether it did before`;
    return { kind: "unknown", changeId, detail, settlePath };
  }
  const detail = "the change has not taken effect and never will";
  return { kind: "refused", changeId, reason: "barred", detail, conflicts: [] };
}

/**
 * Tells whether a change must not take effect any more.
 * @param stored - The configuration.
 * @param changeId - Id of the change.
 */
export function isBarred(stored: StoredConfig, changeId: string): boolean {
  return stored.barred.some((barred) => barred.changeId === changeId);
}

/**
 * Bars a change.
 * @param stored - The configuration.
 * @param changeId - Id of the change.
 * @param at - Time, as ISO 8601 text.
 */
export function barChange(stored: StoredConfig, changeId: string, at: string): StoredConfig {
  const barred = [...stored.barred, { changeId, at }].slice(-MAX_BARRED_CHANGES);
  return { ...stored, barred };
}
