/**
 * Plays soaks by hand: `node tests/soak/soak.ts FIRST COUNT [entries=4] [agents=12] [seconds=30]
 * [every=700] [faults=a,b] [product=FOLDER]`.
 */
import { runSoak } from "./runSoak.ts";

const [first = "1", count = "1", ...rest] = process.argv.slice(2);
const named = new Map(rest.map((option) => option.split("=", 2) as [string, string]));

function getNumber(name: string, fallback: number): number {
  return Number(named.get(name) ?? fallback);
}

let broken = 0;
for (let seed = Number(first); seed < Number(first) + Number(count); seed += 1) {
  const { jobs, runs, faults, violations } = await runSoak({
    seed,
    entries: getNumber("entries", 4),
    agents: getNumber("agents", 12),
    durationMs: 1_000 * getNumber("seconds", 30),
    faultIntervalMs: getNumber("every", 700),
    faults: named.get("faults")?.split(",") ?? [],
    product: named.get("product") ?? ".",
  });
  broken += violations.length > 0 ? 1 : 0;
  console.log(
    `seed ${seed}: ${jobs} jobs, ${runs} runs, ${faults.length} faults, ${violations.length} violations`,
  );
  violations.slice(0, 12).forEach((text) => {
    console.log(`  ${text}`);
  });
}
console.log(`${count} soaks, ${broken} with violations`);
process.exit(broken > 0 ? 1 : 0);
