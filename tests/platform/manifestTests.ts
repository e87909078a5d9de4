/**
 * Tests of decoding the operator's configuration document with values that cannot be right.
 */
import test from "ava";
import { ManifestDecoder } from "../../platform/manifest.ts";
import { QueueRegistry } from "../../src/coordination/pool/QueueRegistry.ts";
import { MemoryLog } from "../support/MemoryLog.ts";
import { MANIFEST } from "./PlatformFixture.ts";

const KEY = "op/config";
const DEEP = `${"[".repeat(20_000)}${"]".repeat(20_000)}`;
const [ROUTE] = MANIFEST.routes;
const ODD_NUMBERS = [1e308, 2 ** 53, -1, 0.5, "4", null];

/** Documents that no operator can mean. */
const ODD_DOCUMENTS: readonly string[] = [
  ...ODD_NUMBERS.flatMap((value) => [
    { ...MANIFEST, version: value },
    { ...MANIFEST, version: 9, limits: { ...MANIFEST.limits, max_body_bytes: value } },
    { ...MANIFEST, version: 9, routes: [{ ...ROUTE, max_attempts: value }] },
  ]).map((document) => JSON.stringify(document)),
  ...[1e308, "1", null].flatMap((value) => [
    JSON.stringify({ ...MANIFEST, version: 9, routes: [{ ...ROUTE, priority: value }] }),
    JSON.stringify({ ...MANIFEST, version: 9, routes: [{ ...ROUTE, stretch: value }] }),
    JSON.stringify({ ...MANIFEST, version: 9, routes: [{ ...ROUTE, target_latency_ms: value }] }),
  ]),
  JSON.stringify({ ...MANIFEST, version: 9, services: [{ name: "" }] }),
  JSON.stringify({ ...MANIFEST, version: 9, routes: Array.from({ length: 20_000 }, () => 1) }),
  `{"version":${DEEP}}`,
  `{"__proto__":${JSON.stringify(MANIFEST)}}`,
  ...[DEEP, "{", "", "null"],
];

// Guards against a document with a version too large, after which each later one counts as old.
test("QueueRegistry ignores documents with numbers that cannot be right, and applies the next one", (t) => {
  const log = new MemoryLog();
  const applied: number[] = [];
  const registry = new QueueRegistry(new ManifestDecoder(), log, ({ version }) => {
    applied.push(version);
  });
  const documents = [JSON.stringify(MANIFEST), ...ODD_DOCUMENTS];
  const next = JSON.stringify({ ...MANIFEST, version: 4 });
  [...documents, next].forEach((value, position) => {
    registry.apply([{ key: KEY, value, revision: position + 1 }]);
  });
  t.deepEqual(applied, [3, 4]);
  const longest = log.lines.map(({ fields }) => JSON.stringify(fields).length);
  t.true(Math.max(...longest) < 2_000, `${Math.max(...longest)} characters`);
});
