import test from "ava";
import fc from "fast-check";
import { getDifferences } from "../../../src/coordination/config/documentKeys.ts";
import {
  barChange,
  findChangeOutcome,
  getDocumentAt,
  MAX_HISTORY_ENTRIES,
} from "../../../src/coordination/config/history.ts";
import { planChange } from "../../../src/coordination/config/planChange.ts";
import { EMPTY_DOCUMENT } from "../../../src/protocol/config/ConfigDocument.ts";
import { INITIAL_CONFIG, type StoredConfig } from "../../../src/protocol/config/StoredConfig.ts";
import { arbitraryDocument } from "../../support/arbitraryDocument.ts";
import { createChange, createHeatOperation } from "../../support/configSamples.ts";

const SEED = 20262;
const AT = "2026-01-01T00:00:00.000Z";

const apply = (stored: StoredConfig, change: ReturnType<typeof createChange>): StoredConfig =>
  planChange(stored, change, stored.revision, AT)._unsafeUnwrap();

test("getDocumentAt returns every earlier document", (t) => {
  fc.assert(
    fc.property(fc.array(arbitraryDocument, { minLength: 1, maxLength: 6 }), (documents) => {
      const last = documents.reduce(
        (stored, document, index) =>
          apply(stored, createChange(`change-${index}`, [{ kind: "replace-document", document }])),
        INITIAL_CONFIG,
      );
      [EMPTY_DOCUMENT, ...documents].forEach((document, revision) => {
        t.deepEqual(getDocumentAt(last, revision), document);
      });
      t.deepEqual(getDifferences(last.document, documents.at(-1) ?? EMPTY_DOCUMENT), []);
    }),
    { seed: SEED, numRuns: 100 },
  );
});

const longHistory = Array.from({ length: MAX_HISTORY_ENTRIES + 5 }, (_, index) => index).reduce(
  (stored, index) =>
    apply(stored, createChange(`change-${index}`, [createHeatOperation("a", index % 11)])),
  INITIAL_CONFIG,
);

test("trimHistory drops the oldest changes and records the revision after which the history begins", (t) => {
  t.is(longHistory.history.length, MAX_HISTORY_ENTRIES);
  t.is(longHistory.horizon, 5);
  t.is(getDocumentAt(longHistory, 4), undefined);
  t.deepEqual(getDocumentAt(longHistory, 5)?.heatLevels, { a: 4 });
});

test("findChangeOutcome reports refused only if the history would contain the change", (t) => {
  const barred = barChange(longHistory, "change-0", AT);
  t.is(findChangeOutcome(longHistory, "change-100", 0).kind, "accepted");
  t.is(findChangeOutcome(longHistory, "change-missing", 5).kind, "unknown");
  t.is(findChangeOutcome(barred, "change-0", 4).kind, "unknown");
  t.is(
    findChangeOutcome(barChange(longHistory, "change-missing", AT), "change-missing", 5).kind,
    "refused",
  );
});
