/**
 * What one entry knows of the VMs and their backend servers, from heartbeats and digests. A record
 * replaces an older one of the same agent; records that are not renewed expire.
 */
import type { Resources } from "../protocol/Resources.ts";

/** A backend server as its agent reports it. */
export interface ServerRecord {
  readonly service: string;
  readonly id: string;
  readonly slots: number;
  readonly slotsInUse: number;
  readonly queued: number;
  readonly draining: boolean;
  readonly p50Us: number;
  readonly p99Us: number;
  readonly requests: number;
  readonly failures: number;
}

/** A VM as its agent reports it. */
export interface VmRecord {
  readonly agent: string;
  readonly incarnation: string;
  /** Rises with every report of one incarnation. */
  readonly sequence: number;
  readonly region: string;
  readonly zone: string;
  readonly rack: string;
  readonly requestAddress: string;
  readonly controlAddress: string;
  readonly capacity: Resources;
  readonly committed: Resources;
  readonly used: Resources;
  readonly servers: readonly ServerRecord[];
  readonly draining: boolean;
  readonly configRevision: number;
  readonly tasks: number;
  /** Heat level that the worker reports; undefined where it reports none. */
  readonly heatLevel: number | undefined;
  /** Why no batch task may start on the VM; absent where tasks may start. */
  readonly startHold?: string;
  /** Whether urgent tasks may start there although others are held. */
  readonly urgentMayStart?: boolean;
  /** When the agent sent the report, on this process's monotonic clock, in milliseconds. */
  readonly reportedAt: number;
}

/** VMs known to one entry. */
export class FleetView {
  private readonly _vms = new Map<string, VmRecord>();

  /**
   * Takes a record in unless a newer one is known.
   * @param record - The record.
   * @returns Whether the record was taken in.
   */
  apply(record: VmRecord): boolean {
    const known = this._vms.get(record.agent);
    if (known !== undefined && !FleetView._isNewer(record, known)) {
      return false;
    }
    this._vms.set(record.agent, record);
    return true;
  }

  /** Gives all known VMs. */
  getVms(): readonly VmRecord[] {
    return [...this._vms.values()];
  }

  /**
   * Gives a VM by the name of its agent.
   * @param agent - Name of the agent.
   */
  getVm(agent: string): VmRecord | undefined {
    return this._vms.get(agent);
  }

  /**
   * Drops the VMs that were not reported since a time.
   * @param reportedBefore - Monotonic time in milliseconds.
   * @returns The VMs that were dropped.
   */
  expire(reportedBefore: number): readonly VmRecord[] {
    const expired = this.getVms().filter((vm) => vm.reportedAt < reportedBefore);
    expired.forEach((vm) => this._vms.delete(vm.agent));
    return expired;
  }

  private static _isNewer(record: VmRecord, known: VmRecord): boolean {
    if (record.incarnation === known.incarnation) {
      return record.sequence > known.sequence;
    }
    return record.reportedAt > known.reportedAt;
  }
}
