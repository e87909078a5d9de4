/**
 * Evaluates a test run against KNOWN-RED.txt, the list of tests that fail because of a known fault.
 * A run passes if no other test fails; entries whose tests passed or did not run are reported.
 *
 * Each line is an entry with five fields:
 * test title | command | seed | observed failure | reference.
 * Blank lines and lines that begin with "#" are ignored.
 */

const FIELD_COUNT = 5;
const TITLE_SEPARATOR = " › ";
const RESULT_PATTERN = /^(ok|not ok) \d+ - (.*?)(?: # (SKIP|TODO).*)?$/;

/** An entry of the file. */
export interface KnownRedEntry {
  readonly title: string;
  readonly command: string;
  readonly seed: string;
  readonly observed: string;
  readonly reference: string;
}

/** Result of one test. */
export interface TestResult {
  /** Title, prefixed with the file name. */
  readonly name: string;
  readonly passed: boolean;
}

/** Evaluation of a run against the known failures. */
export interface RunEvaluation {
  readonly passed: number;
  readonly failed: number;
  /** Names of the failed tests that no entry lists. */
  readonly unexpectedFailures: readonly string[];
  /** Entries whose tests failed. */
  readonly knownFailures: readonly KnownRedEntry[];
  /** Entries whose tests passed. */
  readonly unexpectedPasses: readonly KnownRedEntry[];
  /** Entries whose tests did not run. */
  readonly notRun: readonly KnownRedEntry[];
}

/**
 * Parses the entries of KNOWN-RED.txt.
 * @param text - Content of the file.
 * @throws Error if an entry lacks a field or has too many.
 */
export function parseKnownRed(text: string): readonly KnownRedEntry[] {
  return text
    .split("\n")
    .map((line) => line.trim())
    .filter((line) => line !== "" && !line.startsWith("#"))
    .map(parseEntry);
}

/**
 * Parses the results of a run, without skipped tests.
 * @param output - Output of the run in TAP format.
 */
export function parseTap(output: string): readonly TestResult[] {
  return output.split("\n").flatMap((line) => {
    const [, outcome, name, directive] = RESULT_PATTERN.exec(line) ?? [];
    const isCounted = name !== undefined && directive === undefined;
    return isCounted ? [{ name, passed: outcome === "ok" }] : [];
  });
}

/**
 * Evaluates a run against the known failures.
 * @param results - Results of all tests that ran.
 * @param known - Entries of KNOWN-RED.txt.
 */
export function evaluateRun(
  results: readonly TestResult[],
  known: readonly KnownRedEntry[],
): RunEvaluation {
  const failures = results.filter((result) => !result.passed);
  const matches = (entry: KnownRedEntry, { name }: TestResult): boolean =>
    name === entry.title || name.endsWith(TITLE_SEPARATOR + entry.title);
  const findResults = (entry: KnownRedEntry): readonly TestResult[] =>
    results.filter((result) => matches(entry, result));
  return {
    passed: results.length - failures.length,
    failed: failures.length,
    unexpectedFailures: failures
      .filter((failure) => !known.some((entry) => matches(entry, failure)))
      .map(({ name }) => name),
    knownFailures: known.filter((entry) => findResults(entry).some(({ passed }) => !passed)),
    unexpectedPasses: known.filter(
      (entry) => findResults(entry).length > 0 && findResults(entry).every(({ passed }) => passed),
    ),
    notRun: known.filter((entry) => findResults(entry).length === 0),
  };
}

function parseEntry(line: string): KnownRedEntry {
  const fields = line.split("|").map((field) => field.trim());
  const [title = "", command = "", seed = "", observed = "", reference = ""] = fields;
  if (fields.length !== FIELD_COUNT || fields.includes("")) {
    throw new Error(
      `KNOWN-RED.txt: expected title | command | seed | observed | reference: ${line}`,
    );
  }
  return { title, command, seed, observed, reference };
}
