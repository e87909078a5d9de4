/**
 * Checks the record of concurrent configuration changes against the configuration that the store
 * ends with.
 */
import type { ChangeOutcome, ConfigChange } from "../../src/protocol/config/ConfigChange.ts";
import type { StoredConfig } from "../../src/protocol/config/StoredConfig.ts";

/** A change with what its operator was told last. */
export interface ReportedOutcome {
  readonly change: ConfigChange;
  readonly outcome: ChangeOutcome;
}

/**
 * Lists what is wrong with a record of changes that set heat levels. It replays the changes of the
 * store's history from the operators' own record, so that it does not rest on the history's values.
 * @param reported - Changes with what their operators were told.
 * @param stored - Configuration in the store after all writes have landed.
 */
export function findViolations(
  reported: readonly ReportedOutcome[],
  stored: StoredConfig,
): readonly string[] {
  const changes = new Map(reported.map(({ change }) => [change.changeId, change]));
  const ids = stored.history.map((entry) => entry.changeId);
  const replayed = ids.reduce<Readonly<Record<string, number>>>(
    (levels, id) => ({ ...levels, ...getLevels(changes.get(id)) }),
    {},
  );
  const inForce = stored.document.heatLevels;
  const differing = [...new Set([...Object.keys(replayed), ...Object.keys(inForce)])].filter(
    (zone) => replayed[zone] !== inForce[zone],
  );
  return [
    ...reported.flatMap((entry) => findMisreported(entry, stored)),
    ...(new Set(ids).size === ids.length ? [] : ["a change took effect twice"]),
    ...stored.history.flatMap((entry, index) =>
      entry.revision === index + 1 ? [] : [`revision ${entry.revision} at place ${index + 1}`],
    ),
    ...findSilentOverwrites(changes, stored),
    ...differing.map(
      (zone) => `${zone} is ${inForce[zone] ?? "absent"}, not ${replayed[zone] ?? "absent"}`,
    ),
  ];
}

/**
 * Lists the places where a reader's revisions went back.
 * @param revisions - Revisions that took effect at the reader, in their order.
 */
export function findReversions(revisions: readonly number[]): readonly string[] {
  return revisions.flatMap((revision, index) => {
    const before = revisions[index - 1] ?? -1;
    return revision > before ? [] : [`${before} was followed by ${revision}`];
  });
}

function getLevels(change: ConfigChange | undefined): Readonly<Record<string, number>> {
  const operations = change?.operations ?? [];
  return Object.fromEntries(
    operations.flatMap((operation) =>
      operation.kind === "set-heat-level" ? [[operation.zone, operation.level]] : [],
    ),
  );
}

function findMisreported(entry: ReportedOutcome, stored: StoredConfig): readonly string[] {
  const { changeId } = entry.change;
  const found = stored.history.find((change) => change.changeId === changeId);
  if (entry.outcome.kind === "accepted" && found?.revision !== entry.outcome.revision) {
    return [`${changeId} was accepted at ${entry.outcome.revision}, but is not there`];
  }
  return entry.outcome.kind === "refused" && found !== undefined
    ? [`${changeId} was refused, but took effect at ${found.revision}`]
    : [];
}

/** A change must not replace another value that its operator had not seen. */
function findSilentOverwrites(
  changes: ReadonlyMap<string, ConfigChange>,
  stored: StoredConfig,
): readonly string[] {
  return stored.history.flatMap((entry) => {
    const change = changes.get(entry.changeId);
    const base = change?.baseRevision ?? entry.revision - 1;
    const unseen = stored.history.filter(
      (other) => other.revision > base && other.revision < entry.revision,
    );
    const levels = getLevels(change);
    return Object.keys(levels).flatMap((zone) => {
      const last = unseen.findLast((other) => zone in getLevels(changes.get(other.changeId)));
      const before = last === undefined ? undefined : getLevels(changes.get(last.changeId))[zone];
      return before === undefined || before === levels[zone]
        ? []
        : [`${entry.changeId} replaced ${zone} unseen`];
    });
  });
}
