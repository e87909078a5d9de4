/**
 * Scheduling cycles over all partitions that an entry owns.
 */
import type { ConfigSnapshot } from "../../protocol/config/ConfigDocument.ts";
import type { Clock } from "../../protocol/platform/Clock.ts";
import { addResources, type Resources } from "../../protocol/Resources.ts";
import { getPartition } from "../../state/batch/BatchIds.ts";
import type { BatchJob } from "../../state/batch/BatchJob.ts";
import type { FleetView, VmRecord } from "../../state/FleetView.ts";
import type { PartitionOwner } from "./PartitionOwner.ts";
import type { AllocatedTask, PendingTask, Placement, Placer, WaitingReason } from "./Placer.ts";

const MAX_PENDING = 2_000;
const MAX_PENDING_PER_JOB = 128;
const MAX_STARTS = 1_000;

/** Dependencies of a scheduler. */
export interface BatchSchedulerDependencies {
  readonly clock: Clock;
  readonly fleet: FleetView;
  readonly placer: Placer;
  readonly getConfig: () => ConfigSnapshot | undefined;
  readonly getOwners: () => readonly PartitionOwner[];
  /** Tasks that hold resources in partitions of other entries, as far as known. */
  readonly getPeerTasks: () => readonly AllocatedTask[];
}

interface RecentStart {
  readonly agent: string;
  readonly resources: Resources;
  readonly at: number;
}

/** Schedules the waiting tasks of an entry's partitions. */
export class BatchScheduler {
  private readonly _deps: BatchSchedulerDependencies;
  private readonly _readySince = new Map<string, number>();
  private _waitingReasons = new Map<string, WaitingReason>();
  private _recentStarts: readonly RecentStart[] = [];

  /**
   * Creates a scheduler.
   * @param deps - Its dependencies.
   */
  constructor(deps: BatchSchedulerDependencies) {
    this._deps = deps;
  }

  /**
   * Gets why a task is waiting, according to the last cycle that considered it.
   * @param task - Id of the task.
   */
  getWaitingReason(task: string): WaitingReason | undefined {
    return this._waitingReasons.get(task);
  }

  /** Runs one scheduling cycle and starts the tasks that it placed. */
  runCycle(): void {
    const { clock, placer, getConfig, getOwners, getPeerTasks } = this._deps;
    const cfg = getConfig()?.document;
    const owners = getOwners().filter((owner) => owner.isAvailable && owner.mayGrant);
    const pending = this._getPending(owners);
    if (cfg === undefined || pending.length === 0) {
      this._waitingReasons = new Map();
      return;
    }
    const now = clock.now();
    const active = [
      ...owners.flatMap((owner) => BatchScheduler._getAllocated(owner)),
      ...getPeerTasks(),
    ];
    const vms = this._getVms();
    const plan = placer.plan({ now, pending, active, vms, cfg, limit: MAX_STARTS });
    this._waitingReasons = new Map(plan.waiting.map((reason) => [reason.task, reason]));
    const byTask = new Map(pending.map((task) => [task.task, task]));
    const byPartition = new Map(owners.map((owner) => [owner.partition, owner]));
    plan.placements.forEach((placement) => {
      this._start(placement, byTask, byPartition);
    });
  }

  private _start(
    placement: Placement,
    pending: ReadonlyMap<string, PendingTask>,
    owners: ReadonlyMap<number, PartitionOwner>,
  ): void {
    const { task, agent } = placement;
    const resources = pending.get(task)?.resources;
    const owner = owners.get(getPartition(task) ?? -1);
    if (resources === undefined || owner === undefined) {
      return;
    }
    this._recentStarts = [...this._recentStarts, { agent, resources, at: this._deps.clock.now() }];
    void owner.runner.start(task, agent);
  }

  private _getPending(owners: readonly PartitionOwner[]): readonly PendingTask[] {
    const now = this._deps.clock.now();
    const jobs = owners.flatMap((owner) =>
      owner.ledger
        .getJobs()
        .filter((job) => !job.cancelled && !owner.ledger.isFinished(job.id))
        .map((job) => ({ owner, job, since: this._getReadySince(job, now) })),
    );
    const ordered = jobs.toSorted(
      (a, b) => Number(b.job.spec.urgent) - Number(a.job.spec.urgent) || a.since - b.since,
    );
    this._removeFinished(new Set(ordered.map(({ job }) => job.id)));
    const pending: PendingTask[] = [];
    for (const { owner, job, since } of ordered) {
      if (pending.length >= MAX_PENDING) {
        break;
      }
      pending.push(...BatchScheduler._getPendingOf(owner, job, since, now));
    }
    return pending;
  }

  private _getReadySince(job: BatchJob, now: number): number {
    const since = this._readySince.get(job.id) ?? now;
    this._readySince.set(job.id, since);
    return since;
  }

  private _removeFinished(unfinished: ReadonlySet<string>): void {
    [...this._readySince.keys()]
      .filter((job) => !unfinished.has(job))
      .forEach((job) => this._readySince.delete(job));
  }

  /**
   * Gets the VMs, with recent starts that their reports cannot include yet counted as committed.
   */
  private _getVms(): readonly VmRecord[] {
    const { fleet } = this._deps;
    this._recentStarts = this._recentStarts.filter(
      ({ agent, at }) => at >= (fleet.getVm(agent)?.reportedAt ?? Number.POSITIVE_INFINITY),
    );
    const startsByAgent = Map.groupBy(this._recentStarts, ({ agent }) => agent);
    return fleet.getVms().map((vm) => {
      const starts = startsByAgent.get(vm.agent) ?? [];
      const committed = starts.reduce(
        (sum, start) => addResources(sum, start.resources),
        vm.committed,
      );
      return { ...vm, committed };
    });
  }

  private static _getPendingOf(
    owner: PartitionOwner,
    job: BatchJob,
    since: number,
    now: number,
  ): readonly PendingTask[] {
    const { tenant, kind, urgent, resources } = job.spec;
    return owner.ledger
      .getWaiting(job.id, MAX_PENDING_PER_JOB)
      .filter((task) => owner.getActiveTask(task) === undefined)
      .filter((task) => owner.runner.getNotBefore(task) <= now)
      .map((task) => ({
        task,
        attempt: (owner.ledger.getTask(task)?.attempt ?? 0) + 1,
        tenant,
        kind,
        urgent,
        resources,
        readyAt: Math.max(since, owner.runner.getNotBefore(task)),
      }));
  }

  private static _getAllocated(owner: PartitionOwner): readonly AllocatedTask[] {
    return owner.activeTasks.flatMap((active) => {
      const job = owner.ledger.getJobOf(active.task);
      if (job === undefined) {
        return [];
      }
      const { tenant, kind, urgent, resources } = job.spec;
      return [{ task: active.task, tenant, kind, agent: active.agent, resources, urgent }];
    });
  }
}
