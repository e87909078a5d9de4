/**
 * Applies a change to the stored configuration. Conflicts are detected per key: a change is refused
 * if a key that it sets was modified after the change's base revision and now has a value other
 * than the requested one. A change that sets other keys is merged.
 */
import { isDeepStrictEqual } from "node:util";
import { err, ok, type Result } from "neverthrow";
import type {
  ChangeOutcome,
  ChangeRefusalReason,
  ConfigChange,
  ConfigConflict,
  ConfigOperation,
  HistoryEntry,
} from "../../protocol/config/ConfigChange.ts";
import type { ConfigDocument } from "../../protocol/config/ConfigDocument.ts";
import { findDocumentProblem } from "../../protocol/config/documentProblems.ts";
import {
  formatStoredConfig,
  MAX_STORED_CONFIG_BYTES,
  type StoredConfig,
} from "../../protocol/config/StoredConfig.ts";
import {
  getDifferences,
  getKeyUnion,
  getValue,
  withValue,
  type DocumentKey,
} from "./documentKeys.ts";
import { trimHistory } from "./history.ts";

/** Outcome of a change that is guaranteed to have no effect. */
export type RefusedChange = Extract<ChangeOutcome, { readonly kind: "refused" }>;

/** Key and the value that an operation sets; undefined removes the key. */
interface KeyUpdate extends DocumentKey {
  readonly value: unknown;
}

/**
 * Plans the result of a change to the stored configuration.
 * @param stored - Configuration in the store.
 * @param change - The change.
 * @param baseRevision - Revision that the change is based on.
 * @param at - Time of the change as an ISO 8601 string.
 * @returns The configuration to store, or the refusal of the change.
 */
export function planChange(
  stored: StoredConfig,
  change: ConfigChange,
  baseRevision: number,
  at: string,
): Result<StoredConfig, RefusedChange> {
  const requested = change.operations.reduce(applyOperation, stored.document);
  const refusal =
    findBaseRefusal(stored, change, baseRevision) ??
    findConflictRefusal(stored, change, baseRevision, requested) ??
    findDocumentRefusal(change, requested);
  if (refusal !== undefined) {
    return err(refusal);
  }
  return checkSize(change, appendChange(stored, change, requested, at));
}

/**
 * Creates the refusal of a change.
 * @param changeId - Id of the change.
 * @param reason - Reason code.
 * @param detail - Explanation for people.
 * @param conflicts - Keys that were modified by other changes.
 */
export function refuseChange(
  changeId: string,
  reason: ChangeRefusalReason,
  detail: string,
  conflicts: readonly ConfigConflict[] = [],
): RefusedChange {
  return { kind: "refused", changeId, reason, detail, conflicts };
}

function applyOperation(document: ConfigDocument, operation: ConfigOperation): ConfigDocument {
  if (operation.kind === "replace-document") {
    return operation.document;
  }
  const { value, ...at } = getUpdate(operation);
  return withValue(document, at, value);
}

function getUpdate(operation: Exclude<ConfigOperation, { kind: "replace-document" }>): KeyUpdate {
  switch (operation.kind) {
    case "set-profile":
      return { section: "profiles", key: operation.name, value: operation.profile };
    case "remove-profile":
      return { section: "profiles", key: operation.name, value: undefined };
    case "set-assignment":
      return { section: "assignments", key: operation.service, value: operation.profile };
    case "remove-assignment":
      return { section: "assignments", key: operation.service, value: undefined };
    case "set-quota":
      return { section: "quotas", key: operation.tenant, value: operation.quota };
    case "remove-quota":
      return { section: "quotas", key: operation.tenant, value: undefined };
    case "set-class":
      return { section: "classes", key: operation.name, value: operation.limit };
    case "set-heat-level":
      return { section: "heatLevels", key: operation.zone, value: operation.level };
  }
}

/** Returns the keys that a change sets; replacing the document sets every key. */
function getTouchedKeys(
  change: ConfigChange,
  current: ConfigDocument,
  requested: ConfigDocument,
): readonly DocumentKey[] {
  return change.operations.some((operation) => operation.kind === "replace-document")
    ? getKeyUnion(current, requested)
    : getOperationKeys(change);
}

function getOperationKeys(change: ConfigChange): readonly DocumentKey[] {
  const keys = change.operations.flatMap((operation) => {
    if (operation.kind === "replace-document") {
      return [];
    }
    const { section, key } = getUpdate(operation);
    return [{ section, key }];
  });
  return [...new Map(keys.map((key) => [`${key.section}/${key.key}`, key])).values()];
}

function findBaseRefusal(
  stored: StoredConfig,
  change: ConfigChange,
  baseRevision: number,
): RefusedChange | undefined {
  if (baseRevision > stored.revision) {
    const detail = `the store holds revision ${stored.revision}, the change is based on ${baseRevision}`;
    return refuseChange(change.changeId, "unknown-base", detail);
  }
  if (baseRevision < stored.horizon) {
    const detail = `the history begins after revision ${stored.horizon}, the change is based on ${baseRevision}`;
    return refuseChange(change.changeId, "base-too-old", detail);
  }
  return undefined;
}

function findConflictRefusal(
  stored: StoredConfig,
  change: ConfigChange,
  baseRevision: number,
  requested: ConfigDocument,
): RefusedChange | undefined {
  const laterEntries = stored.history.filter((entry) => entry.revision > baseRevision);
  const conflicts = getTouchedKeys(change, stored.document, requested).flatMap((documentKey) =>
    findConflict(documentKey, laterEntries, stored.document, requested),
  );
  if (conflicts.length === 0) {
    return undefined;
  }
  const detail = `${conflicts.length} of the keys that the change sets were modified after revision ${baseRevision}`;
  return refuseChange(change.changeId, "conflict", detail, conflicts);
}

function findConflict(
  documentKey: DocumentKey,
  laterEntries: readonly HistoryEntry[],
  current: ConfigDocument,
  requested: ConfigDocument,
): readonly ConfigConflict[] {
  const conflicting = laterEntries.findLast((entry) =>
    entry.touched.some((key) => key.section === documentKey.section && key.key === documentKey.key),
  );
  const values = {
    wanted: getValue(requested, documentKey),
    current: getValue(current, documentKey),
  };
  if (conflicting === undefined || isDeepStrictEqual(values.wanted, values.current)) {
    return [];
  }
  const { changeId, author, revision } = conflicting;
  return [
    { section: documentKey.section, key: documentKey.key, ...values, changeId, author, revision },
  ];
}

function findDocumentRefusal(
  change: ConfigChange,
  requested: ConfigDocument,
): RefusedChange | undefined {
  const problem = findDocumentProblem(requested);
  if (problem === undefined) {
    return undefined;
  }
  const detail = `[${problem.section}] ${problem.key} = ${problem.value}: expected ${problem.allowed}`;
  return refuseChange(change.changeId, "bad-document", detail);
}

function appendChange(
  stored: StoredConfig,
  change: ConfigChange,
  requested: ConfigDocument,
  at: string,
): StoredConfig {
  const { changeId, author, note } = change;
  const revision = stored.revision + 1;
  const touched = new Map(
    [...getOperationKeys(change), ...getDifferences(stored.document, requested)].map((key) => [
      `${key.section}/${key.key}`,
      { section: key.section, key: key.key, before: getValue(stored.document, key) },
    ]),
  );
  const entry = { revision, changeId, author, note, at, touched: [...touched.values()] };
  const history = [...stored.history, entry];
  return trimHistory({ ...stored, revision, document: requested, history });
}

function checkSize(change: ConfigChange, next: StoredConfig): Result<StoredConfig, RefusedChange> {
  const bytes = Buffer.byteLength(formatStoredConfig(next));
  if (bytes <= MAX_STORED_CONFIG_BYTES) {
    return ok(next);
  }
  const detail = `the configuration would have ${bytes} bytes, more than the limit of ${MAX_STORED_CONFIG_BYTES}`;
  return err(refuseChange(change.changeId, "too-large", detail));
}
