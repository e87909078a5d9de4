import test from "ava";
import { planChange, type RefusedChange } from "../../../src/coordination/config/planChange.ts";
import type { ConfigChange } from "../../../src/protocol/config/ConfigChange.ts";
import { EMPTY_DOCUMENT } from "../../../src/protocol/config/ConfigDocument.ts";
import { INITIAL_CONFIG, type StoredConfig } from "../../../src/protocol/config/StoredConfig.ts";
import { createChange, SAMPLE_PROFILE, createHeatOperation } from "../../support/configSamples.ts";

const AT = "2026-01-01T00:00:00.000Z";

const accept = (stored: StoredConfig, change: ConfigChange): StoredConfig =>
  planChange(stored, change, change.baseRevision ?? stored.revision, AT)._unsafeUnwrap();

const refuse = (stored: StoredConfig, change: ConfigChange): RefusedChange =>
  planChange(stored, change, change.baseRevision ?? stored.revision, AT)._unsafeUnwrapErr();

const first = accept(INITIAL_CONFIG, createChange("change-1", [createHeatOperation("a", 1)], 0));

test("planChange merges a change of another key with an older base revision", (t) => {
  const next = accept(first, createChange("change-2", [createHeatOperation("b", 2)], 0));
  t.deepEqual(next.document.heatLevels, { a: 1, b: 2 });
  t.is(next.revision, 2);
});

test("planChange refuses a change of a key that was modified since its base and returns both values", (t) => {
  const refusal = refuse(
    first,
    createChange("change-2", [createHeatOperation("b", 2), createHeatOperation("a", 3)], 0),
  );
  t.is(refusal.reason, "conflict");
  t.deepEqual(refusal.conflicts, [
    {
      section: "heatLevels",
      key: "a",
      wanted: 3,
      current: 1,
      changeId: "change-1",
      author: "desk",
      revision: 1,
    },
  ]);
});

test("planChange accepts a change that requests the value in force", (t) => {
  t.is(accept(first, createChange("change-2", [createHeatOperation("a", 1)], 0)).revision, 2);
});

test("planChange refuses to replace a document to which a key was added since the base", (t) => {
  const replace = { kind: "replace-document", document: EMPTY_DOCUMENT } as const;
  t.is(refuse(first, createChange("change-2", [replace], 0)).reason, "conflict");
  t.deepEqual(accept(first, createChange("change-2", [replace], 1)).document, EMPTY_DOCUMENT);
});

test("planChange refuses to remove a profile that has since been assigned", (t) => {
  const assigned = accept(
    INITIAL_CONFIG,
    createChange("change-1", [
      { kind: "set-profile", name: "desk", profile: SAMPLE_PROFILE },
      { kind: "set-assignment", service: "rota", profile: "desk" },
    ]),
  );
  const removal = createChange("change-2", [{ kind: "remove-profile", name: "desk" }], 1);
  const refusal = refuse(assigned, removal);
  t.is(refusal.reason, "bad-document");
  t.regex(refusal.detail, /rota = desk/);
});

test("planChange refuses base revisions outside the stored history", (t) => {
  t.is(
    refuse(first, createChange("change-2", [createHeatOperation("b", 1)], 2)).reason,
    "unknown-base",
  );
  const trimmed = { ...first, history: [], horizon: 1 };
  t.is(
    refuse(trimmed, createChange("change-2", [createHeatOperation("b", 1)], 0)).reason,
    "base-too-old",
  );
});

test("planChange refuses a configuration larger than the store's limit", (t) => {
  const operations = Array.from({ length: 1000 }, (_, index) => ({
    kind: "set-profile" as const,
    name: `${"p".repeat(50)}-${index}`,
    profile: {
      ...SAMPLE_PROFILE,
      heat: Array.from({ length: 11 }, (_, level) => ({
        level,
        startTasks: false,
        throttlePercent: 100,
        evict: false,
      })),
    },
  }));
  t.is(refuse(INITIAL_CONFIG, createChange("change-big", operations)).reason, "too-large");
});
