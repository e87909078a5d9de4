/**
 * Runs a case: exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
 */
import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { CaseRecord } from "./CaseRecord.ts";
import { Deployment, type DeploymentOptions } from "./Deployment.ts";
import { killPrograms } from "./Program.ts";

/** What a case gets. */
export interface CaseContext {
  readonly deployment: Deployment;
  readonly record: CaseRecord;
  /** Whether the disruption takes place. */
  readonly hasTrouble: boolean;
}

/** Plays a case and returns what broke the rule; empty if it held. */
export type CasePlay = (context: CaseContext) => Promise<string>;

/** Size of a case's deployment. */
export type CaseSize = Omit<DeploymentOptions, "record">;

/**
 * Runs a case and ends the process.
 * @param size - Size of its deployment.
 * @param play - Plays the case.
 */
export function runCase(size: CaseSize, play: CasePlay): void {
  const folder = process.argv[2] ?? mkdtempSync(join(tmpdir(), "fireflylb-review-"));
  const record = new CaseRecord(join(folder, "record.txt"));
  const hasTrouble = process.env.TROUBLE !== "0";
  (["SIGTERM", "SIGINT"] as const).forEach((signal) => {
    process.on(signal, () => {
      killPrograms();
      process.exit(2);
    });
  });
  process.on("uncaughtException", (cause) => {
    fail(record, cause);
  });
  playCase(size, play, { record, hasTrouble }).then(
    (code) => process.exit(code),
    (cause: unknown) => {
      fail(record, cause);
    },
  );
}

function fail(record: CaseRecord, cause: unknown): void {
  record.add("case", `could not run: ${String(cause)}`);
  killPrograms();
  process.exit(2);
}

async function playCase(
  size: CaseSize,
  play: CasePlay,
  { record, hasTrouble }: Omit<CaseContext, "deployment">,
): Promise<number> {
  const deployment = await Deployment.start({ ...size, record });
  try {
    const broken = await play({ deployment, record, hasTrouble });
    record.add("case", broken === "" ? "the rule held" : `the rule was broken: ${broken}`);
    return broken === "" ? 0 : 1;
  } finally {
    await deployment.end();
  }
}
