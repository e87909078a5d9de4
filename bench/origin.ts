/**
 * Origin of measurements: the commit of the sources and the machine.
 */
import { execFileSync } from "node:child_process";
import { availableParallelism, cpus, totalmem } from "node:os";
import type { Machine } from "./ResultLine.ts";

const SHORT_COMMIT_LENGTH = 12;

/** Gets the commit of the sources, with the suffix "+changes" if there are uncommitted changes. */
export function getCommit(): string {
  const git = (...args: readonly string[]): string =>
    execFileSync("git", args, { encoding: "utf8" }).trim();
  const commit = git("rev-parse", "HEAD").slice(0, SHORT_COMMIT_LENGTH);
  return git("status", "--porcelain") === "" ? commit : `${commit}+changes`;
}

/** Gets the description of this machine. */
export function getMachine(): Machine {
  return {
    processors: availableParallelism(),
    processorModel: cpus()[0]?.model.trim() ?? "unknown",
    memoryBytes: totalmem(),
    platform: `${process.platform}-${process.arch}`,
    node: process.version,
  };
}
