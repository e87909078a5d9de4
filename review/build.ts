/**
 * Bundles the script of each case, with the stand-ins that it uses, into build/review/.
 */
import { existsSync, readdirSync } from "node:fs";
import { build } from "esbuild";

const cases = readdirSync("review").filter((name) => existsSync(`review/${name}/run.ts`));

await build({
  entryPoints: cases.map((name) => ({ in: `review/${name}/run.ts`, out: `case-${name}` })),
  outdir: "build/review",
  outExtension: { ".js": ".cjs" },
  bundle: true,
  platform: "node",
  format: "cjs",
  target: "node24",
  logLevel: "warning",
});
console.log(`built the scripts of ${cases.length} cases`);
