/**
 * Access to the configuration document by section and key: reading and setting single keys, and the
 * differences between two documents.
 */
import { isDeepStrictEqual } from "node:util";
import {
  CONFIG_SECTIONS,
  type ConfigDifference,
  type ConfigSection,
} from "../../protocol/config/ConfigChange.ts";
import type { ConfigDocument } from "../../protocol/config/ConfigDocument.ts";

/** One key of the document. */
export interface DocumentKey {
  readonly section: ConfigSection;
  readonly key: string;
}

/**
 * Gets the value of a key; undefined if the document does not have it.
 * @param document - The document.
 * @param documentKey - The key.
 */
export function getValue(document: ConfigDocument, documentKey: DocumentKey): unknown {
  const section: Readonly<Record<string, unknown>> = document[documentKey.section];
  return Object.hasOwn(section, documentKey.key) ? section[documentKey.key] : undefined;
}

/**
 * Returns a copy of the document with a key set or removed.
 * @param document - The document.
 * @param documentKey - The key.
 * @param value - New value, of the section's type; undefined removes the key.
 */
export function withValue(
  document: ConfigDocument,
  documentKey: DocumentKey,
  value: unknown,
): ConfigDocument {
  const others = Object.entries(document[documentKey.section]).filter(
    ([key]) => key !== documentKey.key,
  );
  const entries = value === undefined ? others : [...others, [documentKey.key, value]];
  return { ...document, [documentKey.section]: Object.fromEntries(entries) as unknown };
}

/**
 * Returns the keys that exist in at least one of two documents.
 * @param a - One document.
 * @param b - The other document.
 */
export function getKeyUnion(a: ConfigDocument, b: ConfigDocument): readonly DocumentKey[] {
  return CONFIG_SECTIONS.flatMap((section) => {
    const keys = new Set([...Object.keys(a[section]), ...Object.keys(b[section])]);
    return [...keys].toSorted().map((key) => ({ section, key }));
  });
}

/**
 * Returns the keys whose values differ between two documents.
 * @param before - Earlier document.
 * @param after - Later document.
 */
export function getDifferences(
  before: ConfigDocument,
  after: ConfigDocument,
): readonly ConfigDifference[] {
  return getKeyUnion(before, after)
    .map((key) => ({ ...key, before: getValue(before, key), after: getValue(after, key) }))
    .filter((difference) => !isDeepStrictEqual(difference.before, difference.after));
}
