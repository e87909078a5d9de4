/**
 * The verdict of an outcome: whether a request may have run at a backend server. It decides whether
 * a retry is safe, and is sent between processes and to the caller in a header.
 */

/** Whether a request has run: certainly not, possibly, or certainly. */
export type Verdict = "not-run" | "may-have-run" | "ran";

/** All verdicts, from the one that permits a retry to the one that forbids it. */
export const VERDICTS: readonly Verdict[] = ["not-run", "may-have-run", "ran"];

/**
 * Parses a verdict from a header or message field.
 * @param text - Text as received.
 * @returns The verdict, or undefined for unknown text.
 */
export function parseVerdict(text: string | undefined): Verdict | undefined {
  return VERDICTS.find((verdict) => verdict === text);
}
