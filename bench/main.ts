/**
 * Runs benchmarks and writes their results and a report.
 *
 *   npm run bench                              runs all benchmarks
 *   npm run bench -- NAME…                     runs the named ones
 *   npm run bench -- --report FILE FILE…       compares result files in one report
 *
 * Flags: --seed N, --scale X, --out DIRECTORY.
 */
import { appendFileSync, mkdirSync, readdirSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { parseArgs } from "node:util";
import { Bench, type Measurement } from "./Bench.ts";
import { getCommit, getMachine } from "./origin.ts";
import { Report } from "./report/Report.ts";
import { parseResults, type ResultLine } from "./ResultLine.ts";

const MODULE_SUFFIX = "Bench.ts";
const DEFAULT_SEED = "1";
const USAGE_EXIT_CODE = 2;

const { values, positionals } = parseArgs({
  allowPositionals: true,
  options: {
    seed: { type: "string", default: DEFAULT_SEED },
    scale: { type: "string", default: "1" },
    out: { type: "string", default: "bench/results" },
    report: { type: "boolean", default: false },
  },
});

/** Loads the benchmarks; a module that fails to load aborts the program. */
async function loadBenches(): Promise<readonly Bench[]> {
  const files = readdirSync(import.meta.dirname).filter(
    (file) => file.endsWith(MODULE_SUFFIX) && file !== MODULE_SUFFIX,
  );
  const modules = await Promise.all(
    files.map(async (file) => (await import(`./${file}`)) as { readonly default: unknown }),
  );
  return modules.map(({ default: exported }, i) => {
    if (exported instanceof Bench) {
      return exported;
    }
    if (typeof exported !== "function") {
      throw new Error(`${files[i] ?? ""} has no benchmark as its default export`);
    }
    return new (exported as new () => Bench)();
  });
}

async function drawReport(files: readonly string[], reportPath: string): Promise<void> {
  const runs = files.map((file) => parseResults(readFileSync(file, "utf8")));
  writeFileSync(reportPath, await new Report(runs).toHtml());
  console.log(`report: ${reportPath}`);
}

function print(measurement: Measurement): void {
  const labels = Object.entries(measurement.labels).map(([name, value]) => `${name}=${value}`);
  const value = Number(measurement.value.toPrecision(6));
  console.log(`  ${[measurement.name, ...labels].join(" ")}: ${value} ${measurement.unit}`);
}

async function runBenches(benches: readonly Bench[]): Promise<void> {
  const seed = Number(values.seed);
  const scale = Number(values.scale);
  const origin = { commit: getCommit(), seed, scale, machine: getMachine() };
  const pathStem = join(
    values.out,
    `${origin.commit}-${new Date().toISOString().replaceAll(":", "")}`,
  );
  mkdirSync(values.out, { recursive: true });
  await benches.reduce(async (previous, bench) => {
    await previous;
    console.log(`${bench.name}: ${bench.title} (seed ${seed}, scale ${scale})`);
    const emit = (measurement: Measurement): void => {
      print(measurement);
      const at = new Date().toISOString();
      const line: ResultLine = {
        bench: bench.name,
        title: bench.title,
        ...measurement,
        ...origin,
        at,
      };
      appendFileSync(`${pathStem}.jsonl`, `${JSON.stringify(line)}\n`);
    };
    await bench.run({ seed, scale, emit });
  }, Promise.resolve());
  console.log(`results: ${pathStem}.jsonl`);
  await drawReport([`${pathStem}.jsonl`], `${pathStem}.html`);
}

async function main(): Promise<void> {
  if (values.report) {
    await drawReport(positionals, join(values.out, "comparison.html"));
    return;
  }
  const benches = await loadBenches();
  const unknown = positionals.filter((name) => benches.every((bench) => bench.name !== name));
  if (unknown.length > 0 || benches.length === 0) {
    const known = benches.map((bench) => bench.name).join(", ");
    console.error(`unknown benchmark: ${unknown.join(", ")}; available: ${known}`);
    process.exitCode = USAGE_EXIT_CODE;
    return;
  }
  const selected = benches.filter(
    (bench) => positionals.length === 0 || positionals.includes(bench.name),
  );
  await runBenches(selected);
}

await main();
