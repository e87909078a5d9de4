/**
 * VMs kept free for large tasks that have waited long, so that a stream of small tasks does not
 * starve them. Each such task has one VM; only a small share of the fleet is kept free.
 */
import { fits, type Resources } from "../../protocol/Resources.ts";
import type { VmRecord } from "../../state/FleetView.ts";
import { getResourceShare } from "./FitRule.ts";

const MAX_RESERVED_SHARE = 0.05;

/** VMs kept free, by task. */
export class VmReservations {
  private readonly _agents = new Map<string, string>();

  /**
   * Drops the marks of tasks that no longer wait and of VMs that can no longer be used.
   * @param tasks - Tasks that wait.
   * @param agents - VMs that may take tasks.
   */
  retain(tasks: ReadonlySet<string>, agents: ReadonlySet<string>): void {
    [...this._agents]
      .filter(([task, agent]) => !tasks.has(task) || !agents.has(agent))
      .forEach(([task]) => this._agents.delete(task));
  }

  /**
   * Gives the VM kept free for a task.
   * @param task - Id of the task.
   */
  get(task: string): string | undefined {
    return this._agents.get(task);
  }

  /** Gives all VMs that are kept free. */
  getAgents(): ReadonlySet<string> {
    return new Set(this._agents.values());
  }

  /**
   * Keeps a VM free for a task: the one that lacks the least room for it.
   * @param task - Id of the task.
   * @param wanted - Amount that it asks for.
   * @param vms - VMs that may take tasks.
   * @returns Name of the VM's agent; undefined where none is large enough or enough are kept free.
   */
  reserve(task: string, wanted: Resources, vms: readonly VmRecord[]): string | undefined {
    const taken = this.getAgents();
    if (taken.size >= Math.max(1, Math.floor(vms.length * MAX_RESERVED_SHARE))) {
      return undefined;
    }
    const [best] = vms
      .filter((vm) => !taken.has(vm.agent) && fits(wanted, vm.capacity))
      .map((vm) => ({ agent: vm.agent, lack: getShortfall(wanted, vm) }))
      .sort((a, b) => a.lack - b.lack);
    if (best !== undefined) {
      this._agents.set(task, best.agent);
    }
    return best?.agent;
  }

  /**
   * Drops the mark of a task that has been placed.
   * @param task - Id of the task.
   */
  release(task: string): void {
    this._agents.delete(task);
  }
}

/** Largest share of the VM that would have to be freed for an amount. */
function getShortfall(wanted: Resources, vm: VmRecord): number {
  const { capacity, committed } = vm;
  return Math.max(
    getResourceShare(
      wanted.processorsMilli + committed.processorsMilli - capacity.processorsMilli,
      capacity.processorsMilli,
    ),
    getResourceShare(
      wanted.memoryBytes + committed.memoryBytes - capacity.memoryBytes,
      capacity.memoryBytes,
    ),
    getResourceShare(
      wanted.accelerators + committed.accelerators - capacity.accelerators,
      capacity.accelerators,
    ),
  );
}
