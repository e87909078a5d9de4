/**
 * Waiting tasks by tenant, in order of readiness within a tenant. The tenant with the smallest
 * share is next.
 */
import type { PendingTask } from "../batch/Placer.ts";

interface TenantQueue {
  readonly tenant: string;
  readonly share: number;
  readonly tasks: readonly PendingTask[];
  readonly next: number;
}

/** Waiting tasks of one scheduling cycle and urgency. */
export class TenantQueues {
  /** Sorted by descending share, so that the next tenant is last. */
  private readonly _queues: TenantQueue[];
  private readonly _getShare: (tenant: string) => number;

  /**
   * Creates the queues.
   * @param tasks - Waiting tasks.
   * @param getShare - Gets the current share of a tenant.
   */
  constructor(tasks: readonly PendingTask[], getShare: (tenant: string) => number) {
    this._getShare = getShare;
    this._queues = [...Map.groupBy(tasks, (task) => task.tenant)]
      .map(([tenant, group]) => ({
        tenant,
        share: getShare(tenant),
        tasks: group.toSorted((a, b) => a.readyAt - b.readyAt),
        next: 0,
      }))
      .sort((a, b) => b.share - a.share);
  }

  /** Removes and returns the next task of the tenant with the smallest share, if any. */
  dequeue(): PendingTask | undefined {
    const queue = this._queues.pop();
    if (queue === undefined) {
      return undefined;
    }
    const task = queue.tasks[queue.next];
    if (queue.next + 1 < queue.tasks.length) {
      this._insert({ ...queue, next: queue.next + 1 });
    }
    return task;
  }

  /**
   * Moves a tenant to its position after its share has changed.
   * @param tenant - The tenant.
   */
  update(tenant: string): void {
    const position = this._queues.findLastIndex((queue) => queue.tenant === tenant);
    const queue = this._queues[position];
    if (queue !== undefined) {
      this._queues.splice(position, 1);
      this._insert({ ...queue, share: this._getShare(tenant) });
    }
  }

  /** Removes and returns all remaining tasks. */
  dequeueAll(): readonly PendingTask[] {
    const remaining = this._queues.flatMap((queue) => queue.tasks.slice(queue.next));
    this._queues.length = 0;
    return remaining;
  }

  private _insert(queue: TenantQueue): void {
    let low = 0;
    let high = this._queues.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((this._queues[middle]?.share ?? 0) > queue.share) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    this._queues.splice(low, 0, queue);
  }
}
