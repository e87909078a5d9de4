/**
 * Reads a listing page by page.
 */
import { err, ok, type Result } from "neverthrow";
import type { Store, StoreFailure, StoreListing, StorePage } from "./Store.ts";

/**
 * Reads the pages of a listing that are missing, and joins all pages. The revision of the listing is
 * that of the first page, so that a watch from it reports what changed between pages.
 * @param store - Store to list.
 * @param prefix - Prefix of the keys.
 * @param pages - Pages so far, in order; pages that are read are appended, also before a failure.
 * @returns The listing, or the failure of the first page that failed.
 */
export async function readPages(
  store: Pick<Store, "listPage">,
  prefix: string,
  pages: StorePage[],
): Promise<Result<StoreListing, StoreFailure>> {
  for (let after = getNextKey(pages); after !== undefined; after = getNextKey(pages)) {
    const page = await store.listPage(prefix, after);
    if (page.isErr()) {
      return err(addListedKeys(page.error, pages));
    }
    pages.push(page.value);
  }
  const entries = pages.flatMap((page) => page.entries);
  return ok({ entries, revision: pages.at(0)?.revision ?? 0 });
}

/** Gets the key after which the next page begins; undefined at the end of the listing. */
function getNextKey(pages: readonly StorePage[]): string | undefined {
  const last = pages.at(-1);
  return last === undefined ? "" : last.next;
}

/** Adds to the failure of a page how far the listing came. */
function addListedKeys(failure: StoreFailure, pages: readonly StorePage[]): StoreFailure {
  const keys = pages.reduce((sum, { entries }) => sum + entries.length, 0);
  return { ...failure, detail: `${failure.detail} (${keys} keys were listed)` };
}
