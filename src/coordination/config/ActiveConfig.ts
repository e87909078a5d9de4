/**
 * Holds the configuration in force in one process. Snapshots may be offered from any source, in
 * any order and repeatedly; only a larger revision takes effect, so the configuration never
 * reverts.
 */
import type { ConfigSnapshot } from "../../protocol/config/ConfigDocument.ts";

/** Called with each snapshot that takes effect. */
export type ConfigListener = (snapshot: ConfigSnapshot) => void;

/** The configuration in force in one process. */
export class ActiveConfig {
  private readonly _listeners = new Set<ConfigListener>();
  private _snapshot: ConfigSnapshot | undefined;

  /** Gives the configuration in force; undefined before the first is known. */
  getSnapshot(): ConfigSnapshot | undefined {
    return this._snapshot;
  }

  /** Gives the revision in force; undefined before the first is known. */
  getRevision(): number | undefined {
    return this._snapshot?.revision;
  }

  /**
   * Offers a snapshot.
   * @param snapshot - The snapshot.
   * @returns Whether it took effect.
   */
  applyIfNewer(snapshot: ConfigSnapshot): boolean {
    if (this._snapshot !== undefined && snapshot.revision <= this._snapshot.revision) {
      return false;
    }
    this._snapshot = { revision: snapshot.revision, document: snapshot.document };
    [...this._listeners].forEach((listener) => {
      listener(snapshot);
    });
    return true;
  }

  /**
   * Adds a listener; it is called at once where a configuration is in force.
   * @param listener - The listener.
   * @returns Removes the listener.
   */
  addListener(listener: ConfigListener): () => void {
    this._listeners.add(listener);
    if (this._snapshot !== undefined) {
      listener(this._snapshot);
    }
    return () => {
      this._listeners.delete(listener);
    };
  }
}
