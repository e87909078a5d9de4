/**
 * The configuration in force in one process. Snapshots may be offered by any source, in any order
 * and repeatedly. Only a higher revision takes effect, so the configuration never reverts.
 */
import type { ConfigSnapshot } from "../../protocol/config/ConfigDocument.ts";

/** Listener that is called with each snapshot that takes effect. */
export type ConfigListener = (snapshot: ConfigSnapshot) => void;

/** The configuration in force in one process. */
export class ActiveConfig {
  private readonly _listeners = new Set<ConfigListener>();
  private _snapshot: ConfigSnapshot | undefined;

  /** Gets the configuration in force; undefined before the first one is known. */
  getSnapshot(): ConfigSnapshot | undefined {
    return this._snapshot;
  }

  /** Gets the revision in force; undefined before the first one is known. */
  getRevision(): number | undefined {
    return this._snapshot?.revision;
  }

  /**
   * Applies a snapshot if its revision is higher than the one in force.
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
   * Adds a listener and, if a configuration is in force, calls it immediately.
   * @param listener - The listener.
   * @returns Function that removes the listener.
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
