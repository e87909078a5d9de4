/**
 * Tests that fail for a known fault: the entries of KNOWN-RED.txt. A run passes where nothing else
 * fails; entries whose tests pass or did not run are reported.
 *
 * Each line is an entry with five fields: test title | command | seed | what was seen | reference.
 * Blank lines and lines that begin with "#" are left out.
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
  /** Title with the file's name before it. */
  readonly name: string;
  readonly passed: boolean;
}

/** What a run means in view of the known faults. */
export interface RunEvaluation {
  readonly passed: number;
  readonly failed: number;
  /** Failures that no entry names. */
  readonly unexpectedFailures: readonly string[];
  /** Entries whose tests failed. */
  readonly knownFailures: readonly KnownRedEntry[];
  /** Entries whose tests passed. */
  readonly unexpectedPasses: readonly KnownRedEntry[];
  /** Entries whose tests did not run. */
  readonly notRun: readonly KnownRedEntry[];
}

/**
 * Reads the entries.
 * @param text - Text of the file.
 * @throws Error where an entry lacks a field.
 */
export function parseKnownRed(text: string): readonly KnownRedEntry[] {
  return text
    .split("\n")
    .map((line) => line.trim())
    .filter((line) => line !== "" && !line.startsWith("#"))
    .map(parseEntry);
}

/**
 * Reads the results of a run.
 * @param output - Output of the run in the TAP form.
 */
export function parseTap(output: string): readonly TestResult[] {
  return output.split("\n").flatMap((line) => {
    const [, outcome, name, directive] = RESULT_PATTERN.exec(line) ?? [];
    const counts = name !== undefined && directive === undefined;
    return counts ? [{ name, passed: outcome === "ok" }] : [];
  });
}

/**
 * Judges a run.
 * @param results - Results of all tests that ran.
 * @param known - Entries of the file.
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
  const [title = "", command = "", seed = "", seen = "", reference = ""] = fields;
  if (fields.length !== FIELD_COUNT || fields.includes("")) {
    throw new Error(`KNOWN-RED.txt: expected title | command | seed | seen | reference: ${line}`);
  }
  return { title, command, seed, observed: seen, reference };
}
