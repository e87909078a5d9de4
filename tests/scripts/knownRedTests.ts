/**
 * Tests of the evaluation of a test run against the known failures.
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

test("parseTap returns results without skipped tests and diagnostics", (t) => {
  const results = parseTap(OUTPUT);
  t.is(results.length, 4);
  t.is(results.filter(({ passed }) => passed).length, 2);
});

test("evaluateRun ignores only listed failures and reports stale entries", (t) => {
  const known = parseKnownRed(`# comment

Beta works | npm test | 7 | lost one answer | R1
Gamma works | npm test | - | slow | R2
Omega works | npm test | - | gone | R3
`);
  const evaluation = evaluateRun(parseTap(OUTPUT), known);
  t.deepEqual(evaluation.unexpectedFailures, [
    "tests/bTests.ts exited with a non-zero exit code: 1",
  ]);
  t.deepEqual(
    [evaluation.knownFailures, evaluation.unexpectedPasses, evaluation.notRun].map(
      (entries) => entries[0]?.title,
    ),
    ["Beta works", "Gamma works", "Omega works"],
  );
  t.deepEqual([evaluation.passed, evaluation.failed], [2, 2]);
});

test("evaluateRun does not match a title that is only part of another", (t) => {
  const known = parseKnownRed("works | npm test | - | fails | R1");
  t.deepEqual(evaluateRun(parseTap(OUTPUT), known).unexpectedFailures.length, 2);
});

test("parseKnownRed rejects an entry that lacks a field", (t) => {
  t.throws(() => parseKnownRed("Beta works | npm test | lost one answer"), {
    message: /KNOWN-RED\.txt: expected title/,
  });
});
