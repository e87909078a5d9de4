/**
 * Runs the test suite with ava and closes with a plain count line. The run passes where all
 * failures are entries of KNOWN-RED.txt, which are printed; an absent file has no entries.
 */
import { spawn } from "node:child_process";
import { existsSync, readFileSync } from "node:fs";
import { evaluateRun, parseKnownRed, parseTap, type KnownRedEntry } from "./KnownRed.ts";

const KNOWN_RED_FILE = "KNOWN-RED.txt";
/** Files whose tests take much processor time, which tests with real processes would miss. */
const POOL_TESTS = ["tests/coordination/pool/*Tests.ts", "tests/platform/*Tests.ts"];
const ALL_TESTS = "tests/**/*Tests.ts";
/** Files whose tests measure latency. */
const LATENCY_TESTS = "tests/integration/*DisturbanceTests.ts";

const args = process.argv.slice(2);
const knownRed = existsSync(KNOWN_RED_FILE)
  ? parseKnownRed(readFileSync(KNOWN_RED_FILE, "utf8"))
  : [];

function printEntries(heading: string, entries: readonly KnownRedEntry[]): void {
  entries.forEach(({ title, command, seed, observed: seen, reference }) => {
    console.log(`${heading}: ${title} (${command}, seed ${seed}): ${seen} [${reference}]`);
  });
}

/** Gives the exit code of a run. */
function getExitCode(output: string, status: number): number {
  const evaluation = evaluateRun(parseTap(output), knownRed);
  const isPartial = args.length > 0;
  printEntries("known red", evaluation.knownFailures);
  printEntries("listed as red but passes", evaluation.unexpectedPasses);
  if (!isPartial) {
    printEntries("listed as red but did not run", evaluation.notRun);
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

/** Runs ava once and gives its output and exit status. */
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

// Tests that measure latency have the machine to themselves: other test files would be taken for
// batch work that disturbs.
const exclusions = [...POOL_TESTS, LATENCY_TESTS].map((pattern) => `!${pattern}`);
const passes = args.length > 0 ? [args] : [[ALL_TESTS, ...exclusions], POOL_TESTS, [LATENCY_TESTS]];
const results = await passes.reduce<Promise<readonly { output: string; status: number }[]>>(
  async (before, patterns) => [...(await before), await runAva(patterns)],
  Promise.resolve([]),
);
const output = results.map((result) => result.output).join("\n");
const isEmpty = results.some((result) => parseTap(result.output).length === 0);
if (isEmpty) {
  console.log("failed: a pass ran no test");
}
const status = Math.max(...results.map((result) => result.status));
process.exitCode = isEmpty ? 1 : getExitCode(output, status);
