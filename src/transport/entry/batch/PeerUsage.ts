/**
 * Resources allocated to each tenant's tasks in the partitions of the other entries, so that quotas
 * and fair shares apply to the whole fleet. Each entry polls the others regularly; the last usage of
 * an entry counts until its next response or until it is older than `MAX_AGE_MS`.
 */
import { request } from "undici";
import { z } from "zod";
import type { PartitionOwner } from "../../../coordination/batch/PartitionOwner.ts";
import type { AllocatedTask } from "../../../coordination/batch/Placer.ts";
import type { Clock } from "../../../protocol/platform/Clock.ts";
import { addResources, NO_RESOURCES, type Resources } from "../../../protocol/Resources.ts";
import type { ApiRoute } from "../../http/ApiRoute.ts";

const PATH = "/v1/batch/usage";
const TIMEOUT_MS = 1_000;
const MAX_AGE_MS = 15_000;

const usageSchema = z.object({
  tenants: z.record(
    z.string(),
    z.object({
      processorsMilli: z.number(),
      memoryBytes: z.number(),
      accelerators: z.number(),
    }),
  ),
});

interface PeerTasks {
  readonly tasks: readonly AllocatedTask[];
  readonly requestedAt: number;
}

/** Usage of the other entries' partitions. */
export class PeerUsage {
  private readonly _clock: Clock;
  private readonly _getOwners: () => readonly PartitionOwner[];
  private readonly _usages = new Map<string, PeerTasks>();

  /**
   * Creates the view without usage of any entry.
   * @param clock - Monotonic clock.
   * @param getOwners - Returns the partitions of this entry.
   */
  constructor(clock: Clock, getOwners: () => readonly PartitionOwner[]) {
    this._clock = clock;
    this._getOwners = getOwners;
  }

  /** Gets the route on which the other entries poll the usage of this one. */
  getRoute(): ApiRoute {
    const handle = (): Promise<{ status: number; body: object }> =>
      Promise.resolve({ status: 200, body: { tenants: this._getOwnUsage() } });
    return { method: "GET", path: PATH, handle };
  }

  /** Gets the allocations in other entries, one for each pair of tenant and entry. */
  getTasks(): readonly AllocatedTask[] {
    const minRequestedAt = this._clock.now() - MAX_AGE_MS;
    return [...this._usages.values()]
      .filter((usage) => usage.requestedAt >= minRequestedAt)
      .flatMap((usage) => usage.tasks);
  }

  /**
   * Polls the other entries.
   * @param apis - API addresses of the other entries.
   */
  async refresh(apis: readonly string[]): Promise<void> {
    const known = new Set(apis);
    [...this._usages.keys()]
      .filter((api) => !known.has(api))
      .forEach((api) => this._usages.delete(api));
    await Promise.all(apis.map((api) => this._fetch(api)));
  }

  private async _fetch(api: string): Promise<void> {
    const at = this._clock.now();
    try {
      const signal = AbortSignal.timeout(TIMEOUT_MS);
      const res = await request(`http://${api}${PATH}`, { signal });
      const { tenants } = usageSchema.parse(await res.body.json());
      const tasks = Object.entries(tenants).map(([tenant, resources]) => ({
        task: `${api}/${tenant}`,
        tenant,
        kind: "",
        agent: "",
        resources,
        urgent: false,
      }));
      this._usages.set(api, { tasks, requestedAt: at });
    } catch {
      // The last usage of an unresponsive entry counts until it is too old.
    }
  }

  private _getOwnUsage(): Readonly<Record<string, Resources>> {
    const usage = new Map<string, Resources>();
    this._getOwners()
      .flatMap((owner) => owner.activeTasks.map((active) => owner.ledger.getJobOf(active.task)))
      .filter((job) => job !== undefined)
      .forEach(({ spec }) => {
        const sum = usage.get(spec.tenant) ?? NO_RESOURCES;
        usage.set(spec.tenant, addResources(sum, spec.resources));
      });
    return Object.fromEntries(usage);
  }
}
