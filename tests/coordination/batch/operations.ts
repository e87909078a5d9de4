/**
 * Random operations on the simulation of a partition.
 */

/** One random operation; the numbers select the entry, agent, job or run to which it applies. */
export interface Operation {
  readonly kind: OperationKind;
  readonly entry: number;
  readonly agent: number;
  readonly pick: number;
}

export const OPERATION_KINDS = [
  "advance",
  "advance-far",
  "take-over",
  "pause",
  "resume",
  "outage",
  "store-back",
  "lost-answers",
  "lost-requests",
  "submit",
  "cancel",
  "evict",
  "freeze",
  "thaw",
  "cut",
  "reconnect",
  "lose-agent-answers",
  "replace",
  "complete",
  "fail",
  "learn-owner",
  "mislead",
  "late-reports",
  "lose-report-answers",
] as const;

/** Kind of an operation. */
export type OperationKind = (typeof OPERATION_KINDS)[number];
