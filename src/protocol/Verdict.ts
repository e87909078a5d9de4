/**
 * The verdict of every outcome: whether a request may have run at a backend server. It decides
 * whether a retry is safe, crosses the wire in a header and reaches the caller with the status.
 */

/** Whether a request has run: certainly not, possibly, or certainly. */
export type Verdict = "not-run" | "may-have-run" | "ran";

/** All verdicts, from the one that permits a retry to the one that forbids it. */
export const VERDICTS: readonly Verdict[] = ["not-run", "may-have-run", "ran"];

/**
 * Reads a verdict from a header or message field.
 * @param text - Text as received; an unknown text gives undefined.
 */
export function parseVerdict(text: string | undefined): Verdict | undefined {
  return VERDICTS.find((verdict) => verdict === text);
}
