import { readFileSync } from "node:fs";
import test from "ava";
import fc from "fast-check";
import { formatConfigFile, parseConfigFile } from "../../../src/protocol/config/ConfigFile.ts";
import { SettingError } from "../../../src/protocol/errors/errors.ts";
import { arbitraryDocument } from "../../support/arbitraryDocument.ts";

const SEED = 20261;
const PROFILE = `[profile desk]
headroom-processors-cores = 1.5
headroom-memory-mib = 64
latency-objective-ms = 50
tolerated-disturbance-percent = 10
yield-order = throttle, evict
throttle-floor-percent = 20
max-evictions-per-minute = 2
`;

test("parseConfigFile reads both examples", (t) => {
  ["collective", "academy"].forEach((name) => {
    const file = `examples/${name}.ini`;
    const document = parseConfigFile(readFileSync(file, "utf8"), file);
    t.is(Object.keys(document.heatLevels).length, 3);
    t.is(Object.keys(document.assignments).length, 1);
  });
});

test("parseConfigFile preserves dots in names", (t) => {
  const text = PROFILE.replace("desk", "desk.v2.x") + "[assignments]\nrota.desk = desk.v2.x\n";
  const document = parseConfigFile(text, "a.ini");
  t.deepEqual(Object.keys(document.profiles), ["desk.v2.x"]);
  t.deepEqual(document.assignments, { "rota.desk": "desk.v2.x" });
});

const faults: readonly (readonly [string, string, Partial<SettingError>])[] = [
  ["an unknown section", "[profil desk]\na = 1\n", { section: "profil desk" }],
  ["an unknown key", `${PROFILE}colour = red\n`, { key: "colour", value: "red" }],
  ["a duplicate key", `${PROFILE}yield-order = evict\n`, { key: "yield-order" }],
  ["a missing key", PROFILE.replace(/^latency.*\n/m, ""), { key: "latency-objective-ms" }],
  [
    "an invalid value",
    PROFILE.replace("= 20", "= -1"),
    { key: "throttle-floor-percent", value: "-1" },
  ],
  ["an unknown profile", "[assignments]\ndesk = none\n", { key: "desk", value: "none" }],
  ["an invalid name", "[heat-levels]\nZone_A = 1\n", { section: "heatLevels", key: "Zone_A" }],
  ["a key outside sections", "a = 1\n", { section: "", key: "a" }],
  [
    "heat levels that do not ascend",
    [2, 1].reduce(
      (text, level) =>
        `${text}[profile desk heat ${level}]\nstart-tasks = no\nthrottle-percent = 9\nevict = no\n`,
      PROFILE,
    ),
    { section: "profile desk heat 1" },
  ],
];

faults.forEach(([title, text, expected]) => {
  test(`parseConfigFile reports ${title}`, (t) => {
    const err = t.throws(() => parseConfigFile(text, "bad.ini"), { instanceOf: SettingError });
    t.like(err, { file: "bad.ini", ...expected });
    t.true(err.allowed.length > 0);
  });
});

test("formatConfigFile and parseConfigFile round-trip every document", (t) => {
  fc.assert(
    fc.property(arbitraryDocument, (document) => {
      t.deepEqual(parseConfigFile(formatConfigFile(document), "round.ini"), document);
    }),
    { seed: SEED, numRuns: 200 },
  );
});
