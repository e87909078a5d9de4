/**
 * Checks the recorded outcomes of concurrent configuration changes against the configuration that is
 * finally in the store.
 */
import type { ChangeOutcome, ConfigChange } from "../../src/protocol/config/ConfigChange.ts";
import type { StoredConfig } from "../../src/protocol/config/StoredConfig.ts";

/** Change with the last outcome that was reported to its operator. */
export interface ReportedOutcome {
  readonly change: ConfigChange;
  readonly outcome: ChangeOutcome;
}

/**
 * Finds contradictions between reported changes of heat levels and the stored configuration. It
 * replays the order of the store's history with the operations that the operators submitted, so that
 * it does not depend on the values in the history.
 * @param reported - Changes with the outcomes reported to their operators.
 * @param stored - Configuration in the store after all writes have taken effect.
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
  const inEffect = stored.document.heatLevels;
  const differing = [...new Set([...Object.keys(replayed), ...Object.keys(inEffect)])].filter(
    (zone) => replayed[zone] !== inEffect[zone],
  );
  return [
    ...reported.flatMap((entry) => findMisreported(entry, stored)),
    ...(new Set(ids).size === ids.length ? [] : ["a change is in the history twice"]),
    ...stored.history.flatMap((entry, index) =>
      entry.revision === index + 1
        ? []
        : [`revision ${entry.revision} at position ${index + 1} of the history`],
    ),
    ...findSilentOverwrites(changes, stored),
    ...differing.map(
      (zone) =>
        `heat level of ${zone} is ${inEffect[zone] ?? "absent"}, expected ${replayed[zone] ?? "absent"}`,
    ),
  ];
}

/**
 * Finds revisions of a reader that did not increase.
 * @param revisions - Revisions that took effect at the reader, in order.
 */
export function findReversions(revisions: readonly number[]): readonly string[] {
  return revisions.flatMap((revision, index) => {
    const before = revisions[index - 1] ?? -1;
    return revision > before ? [] : [`revision ${before} was followed by ${revision}`];
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
    return [
      `${changeId} was accepted at revision ${entry.outcome.revision}, but the history lacks it`,
    ];
  }
  return entry.outcome.kind === "refused" && found !== undefined
    ? [`${changeId} was refused, but took effect at revision ${found.revision}`]
    : [];
}

/** Finds changes that replaced a different value which their operators had not seen. */
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
        : [`${entry.changeId} replaced an unseen level of ${zone}`];
    });
  });
}
