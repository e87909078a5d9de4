/**
 * Shares of the tenants: what each holds, its dominant share of the fleet by weight, and what its
 * quota leaves.
 */
import type { ConfigDocument, Quota } from "../../protocol/config/ConfigDocument.ts";
import { addResources, fits, NO_RESOURCES, type Resources } from "../../protocol/Resources.ts";
import type { AllocatedTask } from "../batch/Placer.ts";
import { describeExcess } from "./describeExcess.ts";
import { getResourceShare } from "./FitRule.ts";

const DEFAULT_WEIGHT = 1;

/** Why a tenant's quota keeps a task waiting. */
export interface QuotaRefusal {
  /** Whether the task alone is larger than the quota. */
  readonly unschedulable: boolean;
  readonly reason: string;
}

/** Shares of one round. */
export class TenantShares {
  private readonly _quotas: ConfigDocument["quotas"];
  private readonly _total: Resources;
  private readonly _allocated = new Map<string, Resources>();

  /**
   * Creates the shares.
   * @param held - Tasks that hold resources.
   * @param quotas - Quotas by tenant; a tenant without one is not limited.
   * @param total - What the fleet has.
   */
  constructor(held: readonly AllocatedTask[], quotas: ConfigDocument["quotas"], total: Resources) {
    this._quotas = quotas;
    this._total = total;
    held.forEach((task) => {
      this.add(task.tenant, task.resources);
    });
  }

  /**
   * Counts an amount as held.
   * @param tenant - Who holds it.
   * @param resources - The amount.
   */
  add(tenant: string, resources: Resources): void {
    this._allocated.set(tenant, addResources(this.getAllocated(tenant), resources));
  }

  /**
   * Gives what a tenant holds.
   * @param tenant - The tenant.
   */
  getAllocated(tenant: string): Resources {
    return this._allocated.get(tenant) ?? NO_RESOURCES;
  }

  /**
   * Gives the largest share that a tenant holds of any part of the fleet, divided by its weight.
   * @param tenant - The tenant.
   */
  getDominantShare(tenant: string): number {
    const held = this.getAllocated(tenant);
    const share = Math.max(
      getResourceShare(held.processorsMilli, this._total.processorsMilli),
      getResourceShare(held.memoryBytes, this._total.memoryBytes),
      getResourceShare(held.accelerators, this._total.accelerators),
    );
    return share / (this._getQuota(tenant)?.weight ?? DEFAULT_WEIGHT);
  }

  /**
   * Tells whether the quota of a tenant forbids a task now, or for ever.
   * @param tenant - The tenant.
   * @param wanted - Amount that the task asks for.
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
        reason: `it is larger than the quota of tenant ${tenant}: ${excess}`,
      };
    }
    const excess = describeExcess(addResources(this.getAllocated(tenant), wanted), quota);
    return { unschedulable: false, reason: `tenant ${tenant} is at its quota: ${excess}` };
  }

  private _getQuota(tenant: string): Quota | undefined {
    return this._quotas[tenant];
  }
}
