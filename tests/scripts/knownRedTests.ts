/**
 * Tests of the judgement of a run in view of known faults.
 */
import test from "ava";
import { evaluateRun, parseKnownRed, parseTap } from "../../scripts/KnownRed.ts";

const OUTPUT = `TAP version 13
ok 1 - a › aTests › Alpha works
not ok 2 - a › aTests › Beta works
  ---
    message: 'not ok 9 - nothing'
  ...
ok 3 - b › bTests › Gamma works
ok 4 - b › bTests › Delta works # SKIP
not ok 5 - tests/bTests.ts exited with a non-zero exit code: 1
`;

test("parseTap counts results and leaves out skipped tests and diagnostics", (t) => {
  const results = parseTap(OUTPUT);
  t.is(results.length, 4);
  t.is(results.filter(({ passed }) => passed).length, 2);
});

test("judge passes over listed failures alone and reports stale entries", (t) => {
  const known = parseKnownRed(`# comment

Beta works | npm test | 7 | lost one answer | R1
Gamma works | npm test | - | slow | R2
Omega works | npm test | - | gone | R3
`);
  const verdict = evaluateRun(parseTap(OUTPUT), known);
  t.deepEqual(verdict.unexpectedFailures, ["tests/bTests.ts exited with a non-zero exit code: 1"]);
  t.deepEqual(
    [verdict.knownFailures, verdict.unexpectedPasses, verdict.notRun].map(
      (entries) => entries[0]?.title,
    ),
    ["Beta works", "Gamma works", "Omega works"],
  );
  t.deepEqual([verdict.passed, verdict.failed], [2, 2]);
});

test("judge does not take a title for a part of another", (t) => {
  const known = parseKnownRed("works | npm test | - | fails | R1");
  t.deepEqual(evaluateRun(parseTap(OUTPUT), known).unexpectedFailures.length, 2);
});

test("parseKnownRed refuses an entry that lacks a field", (t) => {
  t.throws(() => parseKnownRed("Beta works | npm test | lost one answer"), {
    message: /KNOWN-RED\.txt: expected title/,
  });
});
