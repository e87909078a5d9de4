/**
 * The stored configuration: the document, its revision, the latest changes with the values they
 * replaced, and the changes that are barred from taking effect.
 */
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { changeIdSchema, type HistoryEntry } from "./ConfigChange.ts";
import { configDocumentSchema, EMPTY_DOCUMENT, type ConfigDocument } from "./ConfigDocument.ts";

/** Key of the configuration in the store. */
export const CONFIG_KEY = "config/current";

/** Maximum size of the value that is written; the store accepts up to a megabyte. */
export const MAX_STORED_CONFIG_BYTES = 1_000_000;

/** A change that is barred from taking effect. */
export interface BarredChange {
  readonly changeId: string;
  /** Time when the change was barred, in ISO 8601. */
  readonly at: string;
}

/** The value under CONFIG_KEY. */
export interface StoredConfig {
  readonly format: 1;
  readonly revision: number;
  readonly document: ConfigDocument;
  /** Changes after the horizon, oldest first. */
  readonly history: readonly HistoryEntry[];
  /** Revision up to which changes have been removed from the history. */
  readonly horizon: number;
  readonly barred: readonly BarredChange[];
}

/** The configuration of a new deployment, whose store has none. */
export const INITIAL_CONFIG: StoredConfig = {
  format: 1,
  revision: 0,
  document: EMPTY_DOCUMENT,
  history: [],
  horizon: 0,
  barred: [],
};

const touchedSchema = z.object({
  section: z.enum(["profiles", "assignments", "quotas", "classes", "heatLevels"]),
  key: z.string(),
  before: z.unknown().optional(),
});

const historyEntrySchema = z.object({
  revision: z.number().int().min(1),
  changeId: changeIdSchema,
  author: z.string(),
  note: z.string(),
  at: z.string(),
  touched: z.array(touchedSchema).readonly(),
});

const storedConfigSchema: z.ZodType<StoredConfig> = z.object({
  format: z.literal(1),
  revision: z.number().int().min(0),
  document: configDocumentSchema,
  history: z.array(historyEntrySchema).readonly(),
  horizon: z.number().int().min(0),
  barred: z.array(z.object({ changeId: changeIdSchema, at: z.string() })).readonly(),
});

/**
 * Parses a stored value.
 * @param text - The value.
 * @returns The configuration, or a description of what is wrong with the value.
 */
export function parseStoredConfig(text: string): Result<StoredConfig, string> {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (error) {
    return err(error instanceof Error ? error.message : "not JSON");
  }
  const parsed = storedConfigSchema.safeParse(value);
  return parsed.success ? ok(parsed.data) : err(z.prettifyError(parsed.error));
}

/**
 * Formats the value to store.
 * @param stored - The configuration.
 */
export function formatStoredConfig(stored: StoredConfig): string {
  return JSON.stringify(stored);
}
