/**
 * One entry's view of the VMs and their backend servers, from heartbeats and digests. A record
 * replaces an older one of the same agent; records that are not renewed expire.
 */
import type { Resources } from "../protocol/Resources.ts";

/** A backend server as reported by its agent. */
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

/** A VM as reported by its agent. */
export interface VmRecord {
  readonly agent: string;
  readonly incarnation: string;
  /** Increases with every report of one incarnation. */
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
  /** Reason why no batch task may start on the VM; absent where tasks may start. */
  readonly startHold?: string;
  /** Whether urgent tasks may start although others may not. */
  readonly urgentMayStart?: boolean;
  /** Time when the agent sent the report, on this process's monotonic clock, in milliseconds. */
  readonly reportedAt: number;
}

/** VMs known to one entry. */
export class FleetView {
  private readonly _vms = new Map<string, VmRecord>();

  /**
   * Applies a record unless a newer one of the same agent is known.
   * @param record - The record.
   * @returns Whether the record was applied.
   */
  apply(record: VmRecord): boolean {
    const known = this._vms.get(record.agent);
    if (known !== undefined && !FleetView._isNewer(record, known)) {
      return false;
    }
    this._vms.set(record.agent, record);
    return true;
  }

  /** Gets all known VMs. */
  getVms(): readonly VmRecord[] {
    return [...this._vms.values()];
  }

  /**
   * Gets a VM by the name of its agent.
   * @param agent - Name of the agent.
   */
  getVm(agent: string): VmRecord | undefined {
    return this._vms.get(agent);
  }

  /**
   * Removes the VMs that have not been reported since a time.
   * @param reportedBefore - Monotonic time in milliseconds.
   * @returns The removed VMs.
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
