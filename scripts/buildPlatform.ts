/**
 * Builds what the users' platform runs, in target/: one bundle and the pinned Node executable.
 */
import { copyFileSync, mkdirSync, chmodSync } from "node:fs";
import { build } from "esbuild";

const TARGET = "target";
const NODE = "node_modules/node/bin/node";

mkdirSync(TARGET, { recursive: true });
await build({
  entryPoints: ["platform/main.ts"],
  outfile: `${TARGET}/main.cjs`,
  bundle: true,
  minify: true,
  keepNames: true,
  platform: "node",
  format: "cjs",
  target: "node24",
  define: { "import.meta.url": '"file:///fireflylb"' },
  logLevel: "warning",
});
copyFileSync(NODE, `${TARGET}/node`);
chmodSync(`${TARGET}/node`, 0o755);
console.log(`built ${TARGET}/main.cjs`);
