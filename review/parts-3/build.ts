/**
 * Bundles each case with its stand-ins into one file in the folder of built programs.
 */
import { existsSync } from "node:fs";
import { build } from "esbuild";

const CASES = ["11", "12", "13", "14", "15"];

await Promise.all(
  CASES.filter((name) => existsSync(`review/${name}/case.ts`)).map((name) =>
    build({
      entryPoints: [`review/${name}/case.ts`],
      outfile: `target/review-3/${name}.mjs`,
      bundle: true,
      platform: "node",
      format: "esm",
      target: "node24",
      logLevel: "warning",
    }),
  ),
);
