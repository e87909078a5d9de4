/**
 * Lists the keys under a prefix of the store and resumes after a failure at the page that failed, so
 * that each try makes progress however large the listing is.
 */
import type { Result } from "neverthrow";
import type {
  Store,
  StoreFailure,
  StoreListing,
  StorePage,
} from "../../protocol/platform/Store.ts";
import { readPages } from "../../protocol/platform/storePages.ts";

/** Reader of the listing of one prefix; one read at a time. */
export class ListingReader {
  private readonly _store: Store;
  private readonly _prefix: string;
  /** Pages so far; replaced, never emptied, as a read in progress goes on with its own. */
  private _pages: StorePage[] = [];

  /**
   * Creates a reader.
   * @param store - Store to list.
   * @param prefix - Prefix of the keys.
   */
  constructor(store: Store, prefix: string) {
    this._store = store;
    this._prefix = prefix;
  }

  /** Number of pages kept for the next read. */
  get keptPages(): number {
    return this._pages.length;
  }

  /**
   * Reads the pages that are missing. After a failure the pages so far are kept, and the next read
   * begins with the page that failed; after a success the next read begins from the start. The
   * revision is that of the first page: a watch from it reports what changed since, also between two
   * tries.
   */
  async read(): Promise<Result<StoreListing, StoreFailure>> {
    const pages = this._pages;
    const listing = await readPages(this._store, this._prefix, pages);
    if (listing.isOk() && this._pages === pages) {
      this.reset();
    }
    return listing;
  }

  /** Drops the pages so far: the next read begins from the start. */
  reset(): void {
    this._pages = [];
  }
}
