import test from "ava";
import { ActiveConfig } from "../../../src/coordination/config/ActiveConfig.ts";
import { computeCoverage } from "../../../src/coordination/config/coverage.ts";
import { EMPTY_DOCUMENT } from "../../../src/protocol/config/ConfigDocument.ts";

const snapshot = (revision: number) => ({ revision, document: EMPTY_DOCUMENT });

test("ActiveConfig applies only higher revisions and notifies its listeners", (t) => {
  const activeConfig = new ActiveConfig();
  const seen: number[] = [];
  const removeListener = activeConfig.addListener((applied) => seen.push(applied.revision));
  t.is(activeConfig.getRevision(), undefined);
  [0, 3, 2, 3, 4].forEach((revision) => activeConfig.applyIfNewer(snapshot(revision)));
  removeListener();
  activeConfig.applyIfNewer(snapshot(5));
  t.deepEqual(seen, [0, 3, 4]);
  t.is(activeConfig.getRevision(), 5);
});

test("computeCoverage lists the processes that lack a revision", (t) => {
  const process = (name: string, revision: number) =>
    ({ role: "agent", name, zone: "a", revision, ageMs: 0 }) as const;
  const coverage = computeCoverage([process("b", 4), process("a", 3), process("c", 5)], 4);
  t.like(coverage, { total: 3, holding: 2, complete: false });
  t.deepEqual(
    coverage.missing.map(({ name }) => name),
    ["a"],
  );
});
