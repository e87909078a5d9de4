/**
 * Runs one case of the review. Exits with 1 if its rule was broken, 0 if it held, and 2 if the case
 * could not run.
 */
import { join } from "node:path";
import { CaseRecord } from "./CaseRecord.ts";

/** A case. Resolves to how the rule was broken; undefined if it held. */
export type Case = (record: CaseRecord, hasTrouble: boolean) => Promise<string | undefined>;

const EXIT_HELD = 0;
const EXIT_BROKEN = 1;
const EXIT_NOT_RUN = 2;

/**
 * Runs a case and ends the process.
 * @param number - Number of the case, which names its folder.
 * @param run - The case.
 */
export async function runCase(number: number, run: Case): Promise<void> {
  const record = new CaseRecord(join("review", String(number), "record.txt"));
  const hasTrouble = process.env.TROUBLE !== "0";
  record.add(`case ${number}, ${hasTrouble ? "with" : "without"} the disruption`);
  try {
    const broken = await run(record, hasTrouble);
    const verdict = broken === undefined ? "the rule held" : `the rule is broken: ${broken}`;
    record.add(verdict);
    console.log(`case ${number}: ${verdict}`);
    process.exit(broken === undefined ? EXIT_HELD : EXIT_BROKEN);
  } catch (cause) {
    record.add(`the case could not run: ${String(cause)}`);
    console.error(cause);
    process.exit(EXIT_NOT_RUN);
  }
}
