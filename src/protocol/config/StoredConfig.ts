/**
 * The value at the configuration's key of the store: the document, its revision, the last changes
 * with what they replaced, and the changes that must not take effect any more.
 */
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { changeIdSchema, type HistoryEntry } from "./ConfigChange.ts";
import { configDocumentSchema, EMPTY_DOCUMENT, type ConfigDocument } from "./ConfigDocument.ts";

/** Key of the configuration in the store. */
export const CONFIG_KEY = "config/current";

/** Longest value that is written, in bytes; the store takes up to a megabyte. */
export const MAX_STORED_CONFIG_BYTES = 1_000_000;

/** A change that must not take effect any more. */
export interface BarredChange {
  readonly changeId: string;
  /** When the change was barred, as ISO 8601 text. */
  readonly at: string;
}

/** The value at the configuration's key. */
export interface StoredConfig {
  readonly format: 1;
  readonly revision: number;
  readonly document: ConfigDocument;
  /** Changes after the horizon, oldest first. */
  readonly history: readonly HistoryEntry[];
  /** Revision up to which changes have been dropped from the history. */
  readonly horizon: number;
  readonly barred: readonly BarredChange[];
}

/** The configuration of a deployment whose store has none yet. */
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
 * Reads a stored value.
 * @param text - The value.
 * @returns The configuration, or what is wrong with the value.
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
 * Writes a stored value.
 * @param stored - The configuration.
 */
export function formatStoredConfig(stored: StoredConfig): string {
  return JSON.stringify(stored);
}
