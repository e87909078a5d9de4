/**
 * Runs one case: writes its record, ends all that it started, and exits with 1 if the rule was broken,
 * with 0 if it held, and with 2 if the case could not run.
 */
import { join } from "node:path";
import { Deployment, type DeploymentSize } from "./Deployment.ts";
import { CaseRecord } from "./CaseRecord.ts";

const MAX_CASE_MS = 115_000;

/** What a case gets. */
export interface CaseContext {
  readonly deployment: Deployment;
  readonly record: CaseRecord;
  /** Whether the disruption is to happen. */
  readonly hasTrouble: boolean;
}

/**
 * Runs a case.
 * @param folder - Name of its folder under `review`.
 * @param size - Size of its deployment.
 * @param play - Plays it and returns what broke the rule, if anything did.
 */
export async function runCase(
  folder: string,
  size: DeploymentSize,
  play: (context: CaseContext) => Promise<readonly string[]>,
): Promise<void> {
  const record = new CaseRecord();
  const file = join("review", folder, "record.txt");
  const finish = (code: number): never => {
    record.add(`exit code ${code}`);
    record.write(file);
    process.exit(code);
  };
  ["SIGTERM", "SIGINT"].forEach((signal) => process.once(signal, () => finish(2)));
  setTimeout(() => {
    record.add("the case took too long");
    finish(2);
  }, MAX_CASE_MS);
  const hasTrouble = process.env.TROUBLE !== "0";
  record.add(`case ${folder}, ${hasTrouble ? "with" : "without"} the disruption`);
  try {
    const deployment = await Deployment.start(record, size);
    const broken = await play({ deployment, record, hasTrouble });
    await deployment.end();
    broken.forEach((text) => {
      record.add(`BROKEN: ${text}`);
      console.log(text);
    });
    finish(broken.length > 0 ? 1 : 0);
  } catch (cause) {
    record.add(`the case could not run: ${String(cause)}`);
    console.error(cause);
    finish(2);
  }
}
