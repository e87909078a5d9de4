/**
 * Shares of the tenants: allocated resources, weighted dominant share of the fleet, and quota
 * checks.
 */
import type { ConfigDocument, Quota } from "../../protocol/config/ConfigDocument.ts";
import { addResources, fits, NO_RESOURCES, type Resources } from "../../protocol/Resources.ts";
import type { AllocatedTask } from "../batch/Placer.ts";
import { describeExcess } from "./describeExcess.ts";
import { getResourceShare } from "./FitRule.ts";

const DEFAULT_WEIGHT = 1;

/** Reason why a tenant's quota does not admit a task. */
export interface QuotaRefusal {
  /** Whether the task alone exceeds the quota. */
  readonly unschedulable: boolean;
  readonly reason: string;
}

/** Shares of the tenants in one scheduling cycle. */
export class TenantShares {
  private readonly _quotas: ConfigDocument["quotas"];
  private readonly _total: Resources;
  private readonly _allocated = new Map<string, Resources>();

  /**
   * Creates the shares.
   * @param allocated - Tasks with allocated resources.
   * @param quotas - Quotas by tenant; a tenant without one is not limited.
   * @param total - Total capacity of the fleet.
   */
  constructor(
    allocated: readonly AllocatedTask[],
    quotas: ConfigDocument["quotas"],
    total: Resources,
  ) {
    this._quotas = quotas;
    this._total = total;
    allocated.forEach((task) => {
      this.add(task.tenant, task.resources);
    });
  }

  /**
   * Adds resources to a tenant's allocation.
   * @param tenant - The tenant.
   * @param resources - The resources.
   */
  add(tenant: string, resources: Resources): void {
    this._allocated.set(tenant, addResources(this.getAllocated(tenant), resources));
  }

  /**
   * Gets the resources allocated to a tenant.
   * @param tenant - The tenant.
   */
  getAllocated(tenant: string): Resources {
    return this._allocated.get(tenant) ?? NO_RESOURCES;
  }

  /**
   * Gets the dominant share of a tenant: its largest share of any resource of the fleet, divided by
   * its weight.
   * @param tenant - The tenant.
   */
  getDominantShare(tenant: string): number {
    const allocated = this.getAllocated(tenant);
    const share = Math.max(
      getResourceShare(allocated.processorsMilli, this._total.processorsMilli),
      getResourceShare(allocated.memoryBytes, this._total.memoryBytes),
      getResourceShare(allocated.accelerators, this._total.accelerators),
    );
    return share / (this._getQuota(tenant)?.weight ?? DEFAULT_WEIGHT);
  }

  /**
   * Gets the reason why the quota of a tenant does not admit a task; undefined if it does.
   * @param tenant - The tenant.
   * @param wanted - Resources that the task requests.
   */
  findRefusal(tenant: string, wanted: Resources): QuotaRefusal | undefined {
    const quota = this._getQuota(tenant);
    if (quota === undefined || fits(addResources(this.getAllocated(tenant), wanted), quota)) {
      return undefined;
    }
    if (!fits(wanted, quota)) {
      const excess = describeExcess(wanted, quota);
      return {
        unschedulable: true,
        reason: `it requests more than the quota of tenant ${tenant}: ${excess}`,
      };
    }
    const excess = describeExcess(addResources(this.getAllocated(tenant), wanted), quota);
    return {
      unschedulable: false,
      reason: `with it, tenant ${tenant} would exceed its quota: ${excess}`,
    };
  }

  private _getQuota(tenant: string): Quota | undefined {
    return this._quotas[tenant];
  }
}
