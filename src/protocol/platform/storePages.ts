/**
 * Joins the pages of a listing.
 */
import type { StoreFailure, StoreListing, StorePage } from "./Store.ts";

/**
 * Gets the key after which the next page begins: "" for the first page, undefined at the end of the
 * listing.
 * @param pages - Pages so far, in order.
 */
export function getNextKey(pages: readonly StorePage[]): string | undefined {
  const last = pages.at(-1);
  return last === undefined ? "" : last.next;
}

/**
 * Joins all pages of a listing. Its revision is that of the first page, so that a watch from it
 * reports what changed between pages.
 * @param pages - Pages in order.
 */
export function toListing(pages: readonly StorePage[]): StoreListing {
  return { entries: pages.flatMap(({ entries }) => entries), revision: pages.at(0)?.revision ?? 0 };
}

/**
 * Adds to the failure of a page how far the listing came.
 * @param failure - Failure of the page.
 * @param pages - Pages before it.
 */
export function addListedKeys(failure: StoreFailure, pages: readonly StorePage[]): StoreFailure {
  const keys = pages.reduce((sum, { entries }) => sum + entries.length, 0);
  return { ...failure, detail: `${failure.detail} (${keys} keys were listed)` };
}
