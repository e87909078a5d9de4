/**
 * Builds the single executable: bundles the sources, creates a Node SEA (single executable
 * application) blob and injects it into a copy of the pinned Node executable.
 */
import { execFileSync } from "node:child_process";
import {
  chmodSync,
  copyFileSync,
  mkdirSync,
  readFileSync,
  renameSync,
  writeFileSync,
} from "node:fs";
import { build } from "esbuild";

const SEA_FUSE = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";
const BUNDLE = "build/fireflylb.cjs";
const BLOB = "build/fireflylb.blob";
const SEA_CONFIG = "build/sea.json";
const BINARY = "dist/fireflylb";
/** Renamed to the binary at the end: the file of a running program cannot be overwritten. */
const TEMPORARY_BINARY = "dist/fireflylb.unfinished";

interface PackageFile {
  readonly version: string;
}

mkdirSync("build", { recursive: true });
mkdirSync("dist", { recursive: true });
const { version } = JSON.parse(readFileSync("package.json", "utf8")) as PackageFile;

await build({
  entryPoints: ["src/main.ts"],
  outfile: BUNDLE,
  bundle: true,
  platform: "node",
  format: "cjs",
  target: "node24",
  define: {
    "import.meta.url": '"file:///fireflylb"',
    FIREFLYLB_VERSION: JSON.stringify(version),
  },
  logLevel: "warning",
});
writeFileSync(
  SEA_CONFIG,
  JSON.stringify({ main: BUNDLE, output: BLOB, disableExperimentalSEAWarning: true }),
);
execFileSync(process.execPath, ["--experimental-sea-config", SEA_CONFIG], { stdio: "pipe" });
copyFileSync(process.execPath, TEMPORARY_BINARY);
chmodSync(TEMPORARY_BINARY, 0o755);
execFileSync("postject", [TEMPORARY_BINARY, "NODE_SEA_BLOB", BLOB, "--sentinel-fuse", SEA_FUSE], {
  stdio: "pipe",
});
renameSync(TEMPORARY_BINARY, BINARY);
console.log(`built ${BINARY} ${version}`);
