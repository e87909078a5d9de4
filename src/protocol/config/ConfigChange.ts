/**
 * A configuration change that an operator sends, and its outcome.
 *
 * `POST /v1/config/changes` accepts a change and responds with a ChangeOutcome. `GET
 * /v1/config/changes/:id` reads the outcome without side effects. `POST
 * /v1/config/changes/:id/settle` bars a change that has not taken effect from ever doing so, so
 * that its outcome becomes known.
 */
import { z } from "zod";
import {
  classLimitSchema,
  configDocumentSchema,
  nameSchema,
  profileSchema,
  quotaSchema,
} from "./ConfigDocument.ts";

/** Maximum number of operations in one change. */
export const MAX_CHANGE_OPERATIONS = 1000;

/** Id of a change, chosen by the sender. */
export const changeIdSchema = z
  .string()
  .regex(/^[A-Za-z0-9][A-Za-z0-9._-]{7,63}$/, "8 to 64 of A-Z, a-z, 0-9, '.', '_' and '-'");

/** One operation of a change. */
export const configOperationSchema = z.discriminatedUnion("kind", [
  z.strictObject({ kind: z.literal("set-profile"), name: nameSchema, profile: profileSchema }),
  z.strictObject({ kind: z.literal("remove-profile"), name: nameSchema }),
  z.strictObject({
    kind: z.literal("set-assignment"),
    service: nameSchema,
    profile: nameSchema,
  }),
  z.strictObject({ kind: z.literal("remove-assignment"), service: nameSchema }),
  z.strictObject({ kind: z.literal("set-quota"), tenant: nameSchema, quota: quotaSchema }),
  z.strictObject({ kind: z.literal("remove-quota"), tenant: nameSchema }),
  z.strictObject({ kind: z.literal("set-class"), name: nameSchema, limit: classLimitSchema }),
  z.strictObject({
    kind: z.literal("set-heat-level"),
    zone: nameSchema,
    level: z.number().int().min(0).max(10),
  }),
  z.strictObject({ kind: z.literal("replace-document"), document: configDocumentSchema }),
]);

/** A change: operations that take effect atomically. */
export const configChangeSchema = z
  .strictObject({
    changeId: changeIdSchema,
    author: z.string().min(1).max(100),
    /** Reason for the change. */
    note: z.string().max(500),
    /** Revision that the change is based on; by default the newest when the change arrives. */
    baseRevision: z.number().int().min(0).optional(),
    operations: z.array(configOperationSchema).min(1).max(MAX_CHANGE_OPERATIONS).readonly(),
  })
  .readonly();

export type ConfigOperation = Readonly<z.infer<typeof configOperationSchema>>;
export type ConfigChange = z.infer<typeof configChangeSchema>;

/** Sections of the document. */
export type ConfigSection = "profiles" | "assignments" | "quotas" | "classes" | "heatLevels";

/** All sections, in the order in which they are shown. */
export const CONFIG_SECTIONS: readonly ConfigSection[] = [
  "profiles",
  "assignments",
  "quotas",
  "classes",
  "heatLevels",
];

/** A key of the document with its values before and after; absent values mean no such key. */
export interface ConfigDifference {
  readonly section: ConfigSection;
  readonly key: string;
  readonly before?: unknown;
  readonly after?: unknown;
}

/** A key that another change has set since the base revision. */
export interface ConfigConflict {
  readonly section: ConfigSection;
  readonly key: string;
  /** Value that the refused change sets; absent where it removes the key. */
  readonly wanted?: unknown;
  /** Value in force; absent where the key was removed. */
  readonly current?: unknown;
  /** Last change of the key. */
  readonly changeId: string;
  readonly author: string;
  readonly revision: number;
}

/** Why a change was refused. */
export type ChangeRefusalReason =
  | "conflict"
  | "base-too-old"
  | "unknown-base"
  | "bad-document"
  | "too-large"
  | "barred"
  | "store-unavailable";

/** Outcome of a change as far as it is known. */
export type ChangeOutcome =
  | { readonly kind: "accepted"; readonly changeId: string; readonly revision: number }
  | {
      readonly kind: "refused";
      readonly changeId: string;
      readonly reason: ChangeRefusalReason;
      readonly detail: string;
      readonly conflicts: readonly ConfigConflict[];
    }
  | {
      readonly kind: "unknown";
      readonly changeId: string;
      readonly detail: string;
      /** Path to POST to in order to settle the outcome. */
      readonly settlePath: string;
    };

/** An accepted change. */
export interface HistoryEntry {
  readonly revision: number;
  readonly changeId: string;
  readonly author: string;
  readonly note: string;
  /** Time of the change, in ISO 8601. */
  readonly at: string;
  /** Keys that the change set or removed, with their previous values. */
  readonly touched: readonly Omit<ConfigDifference, "after">[];
}

/**
 * Gets the path to POST to in order to settle a change.
 * @param changeId - Id of the change.
 * @param sinceRevision - A revision that is certainly older than the change.
 */
export function getSettlePath(changeId: string, sinceRevision: number): string {
  return `/v1/config/changes/${changeId}/settle?since=${sinceRevision}`;
}
