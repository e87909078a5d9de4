/**
 * Runs the test suite with ava and prints the counts of passed and failed tests. The run passes if
 * KNOWN-RED.txt lists all failures, which are printed; a missing file counts as empty.
 */
import { spawn } from "node:child_process";
import { existsSync, readFileSync } from "node:fs";
import { evaluateRun, parseKnownRed, parseTap, type KnownRedEntry } from "./KnownRed.ts";

const KNOWN_RED_FILE = "KNOWN-RED.txt";
/** Tests that need much processor time; they run apart so that they do not starve process tests. */
const PROCESSOR_INTENSIVE_TESTS = ["tests/coordination/pool/*Tests.ts", "tests/platform/*Tests.ts"];
const ALL_TESTS = "tests/**/*Tests.ts";
/** Files whose tests measure latency. */
const LATENCY_TESTS = "tests/integration/*DisturbanceTests.ts";

const args = process.argv.slice(2);
const knownRed = existsSync(KNOWN_RED_FILE)
  ? parseKnownRed(readFileSync(KNOWN_RED_FILE, "utf8"))
  : [];

function printEntries(heading: string, entries: readonly KnownRedEntry[]): void {
  entries.forEach(({ title, command, seed, observed, reference }) => {
    console.log(`${heading}: ${title} (${command}, seed ${seed}): ${observed} [${reference}]`);
  });
}

/** Prints the evaluation of a run and returns its exit code. */
function getExitCode(output: string, status: number): number {
  const evaluation = evaluateRun(parseTap(output), knownRed);
  const isPartial = args.length > 0;
  printEntries("known failure", evaluation.knownFailures);
  printEntries("listed in KNOWN-RED.txt but passes", evaluation.unexpectedPasses);
  if (!isPartial) {
    printEntries("listed in KNOWN-RED.txt but did not run", evaluation.notRun);
  }
  evaluation.unexpectedFailures.forEach((name) => {
    console.log(`failed: ${name}`);
  });
  console.log(`${evaluation.passed} passed, ${evaluation.failed} failed`);
  const isExplained = evaluation.failed > 0 && evaluation.unexpectedFailures.length === 0;
  const haveAllRun = isPartial || evaluation.notRun.length === 0;
  const isClean = (status === 0 || isExplained) && !output.includes("\nBail out!");
  return isClean && haveAllRun ? 0 : 1;
}

/** Runs ava once and returns its output and exit status. */
async function runAva(patterns: readonly string[]): Promise<{ output: string; status: number }> {
  const child = spawn("ava", ["--tap", ...patterns], { stdio: ["ignore", "pipe", "inherit"] });
  let output = "";
  child.stdout.setEncoding("utf8").on("data", (chunk: string) => {
    output += chunk;
    process.stdout.write(chunk);
  });
  const status = await new Promise<number>((resolve, reject) => {
    child.on("error", reject);
    child.on("close", (code) => {
      resolve(code ?? 1);
    });
  });
  return { output, status };
}

// Tests that measure latency run alone: the load of other test files would be attributed to batch
// tasks that disturb the service.
const exclusions = [...PROCESSOR_INTENSIVE_TESTS, LATENCY_TESTS].map((pattern) => `!${pattern}`);
const avaRuns =
  args.length > 0
    ? [args]
    : [[ALL_TESTS, ...exclusions], PROCESSOR_INTENSIVE_TESTS, [LATENCY_TESTS]];
const results = await avaRuns.reduce<Promise<readonly { output: string; status: number }[]>>(
  async (previous, patterns) => [...(await previous), await runAva(patterns)],
  Promise.resolve([]),
);
const output = results.map((result) => result.output).join("\n");
const isEmpty = results.some((result) => parseTap(result.output).length === 0);
if (isEmpty) {
  console.log("failed: a run of ava ran no test");
}
const status = Math.max(...results.map((result) => result.status));
process.exitCode = isEmpty ? 1 : getExitCode(output, status);
