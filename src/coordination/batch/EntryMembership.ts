/**
 * Lease of an entry in the store, its registration, and the keys that name the owners of
 * partitions. The owner keys only distribute the ownership; a partition is protected against two
 * writers by its log.
 */
import type { Clock } from "../../protocol/platform/Clock.ts";
import type { Log } from "../../protocol/platform/Log.ts";
import type { Store, StoreEntry } from "../../protocol/platform/Store.ts";
import { ENTRY_PREFIX, getOwnerKey, OWNER_PREFIX } from "../../state/batch/LogKeys.ts";

/** Registration of an entry in the store. */
export interface EntryRegistration {
  readonly name: string;
  readonly zone: string;
  readonly region: string;
  /** Address of the control service, as host:port. */
  readonly control: string;
  /** Address of the operators' API, as host:port. */
  readonly api: string;
}

/** Value of the key that names the owner of a partition. */
export interface OwnerValue {
  readonly entry: string;
  readonly control: string;
  readonly api: string;
  /** Epoch of the owner; 0 until its takeover has finished. */
  readonly epoch: number;
  /** Identity of the owning process. */
  readonly writer: string;
  readonly lease: string;
}

/** Dependencies of a membership. */
export interface EntryMembershipDependencies {
  readonly store: Store;
  readonly clock: Clock;
  readonly log: Log;
  readonly registration: EntryRegistration;
  readonly writer: string;
  readonly leaseMs: number;
}

/** Manages the lease, registration and owner keys of one entry. */
export class EntryMembership {
  private readonly _deps: EntryMembershipDependencies;
  private _lease: string | undefined;
  private _entries: readonly EntryRegistration[];
  private _owners: ReadonlyMap<number, OwnerValue> = new Map();

  /**
   * Creates a membership; the entry registers with the first renewal.
   * @param deps - Its dependencies.
   */
  constructor(deps: EntryMembershipDependencies) {
    this._deps = deps;
    this._entries = [deps.registration];
  }

  /** Entries that were live at the last refresh, including this one. */
  get entries(): readonly EntryRegistration[] {
    return this._entries;
  }

  /** Owners by partition at the last refresh. */
  get owners(): ReadonlyMap<number, OwnerValue> {
    return this._owners;
  }

  /** Identity of this process in the owner keys. */
  get writer(): string {
    return this._deps.writer;
  }

  /** Id of the lease; undefined while the entry has none. */
  get lease(): string | undefined {
    return this._lease;
  }

  /**
   * Renews the lease, or acquires a new one and registers again.
   * @returns Whether the lease is confirmed.
   */
  async renew(): Promise<boolean> {
    const { store, log, leaseMs } = this._deps;
    if (this._lease !== undefined) {
      const renewed = await store.renewLease(this._lease);
      if (renewed.isErr() && renewed.error.kind === "lease-lost") {
        log.warn("The lease of this entry in the store has expired; the entry registers again.");
        this._lease = undefined;
      }
      return renewed.isOk();
    }
    const granted = await store.grantLease(leaseMs);
    if (granted.isErr()) {
      return false;
    }
    const { registration } = this._deps;
    const key = `${ENTRY_PREFIX}${registration.name}`;
    const registered = await this._put(key, JSON.stringify(registration), granted.value);
    this._lease = registered ? granted.value : undefined;
    return registered;
  }

  /**
   * Reads the live entries and the owners from the store.
   * @returns Whether the store responded.
   */
  async refresh(): Promise<boolean> {
    const { store, registration } = this._deps;
    const entries = await store.list(ENTRY_PREFIX);
    const owners = await store.list(OWNER_PREFIX);
    if (entries.isErr() || owners.isErr()) {
      return false;
    }
    const others = entries.value.entries
      .map((entry) => JSON.parse(entry.value) as EntryRegistration)
      .filter((entry) => entry.name !== registration.name);
    this._entries = [registration, ...others];
    this._owners = new Map(
      owners.value.entries.map((entry) => [
        Number(entry.key.slice(OWNER_PREFIX.length)),
        JSON.parse(entry.value) as OwnerValue,
      ]),
    );
    return true;
  }

  /**
   * Writes this entry as the owner of a partition, unless the key names another owner.
   * @param partition - Number of the partition.
   * @param epoch - Epoch of the ownership; 0 before the takeover.
   * @returns The lease to which the key is attached; undefined if the claim failed.
   */
  async claim(partition: number, epoch: number): Promise<string | undefined> {
    const { store, registration, writer } = this._deps;
    const lease = this._lease;
    if (lease === undefined) {
      return undefined;
    }
    const { name: entry, control, api } = registration;
    const value: OwnerValue = { entry, control, api, epoch, writer, lease };
    const key = getOwnerKey(partition);
    const current = await store.read(key);
    if (current.isErr() || !this._isFreeOrOwn(current.value)) {
      return undefined;
    }
    const expected = current.value?.revision ?? 0;
    const written = await store.write({ key, value: JSON.stringify(value), expected, lease });
    const claimed = written.isOk() && written.value.kind === "written";
    if (claimed) {
      this._owners = new Map([...this._owners, [partition, value]]);
    }
    return claimed ? lease : undefined;
  }

  /**
   * Removes the key that names this entry as the owner of a partition.
   * @param partition - Number of the partition.
   */
  async releaseClaim(partition: number): Promise<void> {
    const { store } = this._deps;
    const current = await store.read(getOwnerKey(partition));
    if (current.isOk() && current.value !== undefined && this._isFreeOrOwn(current.value)) {
      await store.remove(current.value.key, current.value.revision);
    }
    this._owners = new Map([...this._owners].filter(([number]) => number !== partition));
  }

  /** Revokes the lease, which removes the registration and all owner keys. */
  async leave(): Promise<void> {
    if (this._lease !== undefined) {
      await this._deps.store.revokeLease(this._lease);
      this._lease = undefined;
    }
  }

  private _isFreeOrOwn(current: StoreEntry | undefined): boolean {
    if (current === undefined) {
      return true;
    }
    return (JSON.parse(current.value) as OwnerValue).writer === this._deps.writer;
  }

  private async _put(key: string, value: string, lease: string): Promise<boolean> {
    const { store } = this._deps;
    const current = await store.read(key);
    if (current.isErr()) {
      return false;
    }
    const expected = current.value?.revision ?? 0;
    const written = await store.write({ key, value, expected, lease });
    return written.isOk() && written.value.kind === "written";
  }
}
