/**
 * VMs reserved for large tasks that have waited long, so that a stream of small tasks does not
 * starve them. Each such task gets one VM; only a small share of the fleet is reserved.
 */
import { fits, type Resources } from "../../protocol/Resources.ts";
import type { VmRecord } from "../../state/FleetView.ts";
import { getResourceShare } from "./FitRule.ts";

const MAX_RESERVED_SHARE = 0.05;

/** Reserved VMs by task. */
export class VmReservations {
  private readonly _agents = new Map<string, string>();

  /**
   * Removes the reservations of tasks that no longer wait and of VMs that can no longer be used.
   * @param tasks - Ids of the waiting tasks.
   * @param agents - Agents of the VMs that accept tasks.
   */
  retain(tasks: ReadonlySet<string>, agents: ReadonlySet<string>): void {
    [...this._agents]
      .filter(([task, agent]) => !tasks.has(task) || !agents.has(agent))
      .forEach(([task]) => this._agents.delete(task));
  }

  /**
   * Gets the agent of the VM reserved for a task.
   * @param task - Id of the task.
   */
  get(task: string): string | undefined {
    return this._agents.get(task);
  }

  /** Gets the agents of all reserved VMs. */
  getAgents(): ReadonlySet<string> {
    return new Set(this._agents.values());
  }

  /**
   * Reserves for a task the VM with the smallest shortfall of free capacity.
   * @param task - Id of the task.
   * @param wanted - Resources that it requests.
   * @param vms - VMs that accept tasks.
   * @returns Name of the VM's agent; undefined if no VM is large enough or the limit is reached.
   */
  reserve(task: string, wanted: Resources, vms: readonly VmRecord[]): string | undefined {
    const reserved = this.getAgents();
    if (reserved.size >= Math.max(1, Math.floor(vms.length * MAX_RESERVED_SHARE))) {
      return undefined;
    }
    const [best] = vms
      .filter((vm) => !reserved.has(vm.agent) && fits(wanted, vm.capacity))
      .map((vm) => ({ agent: vm.agent, shortfall: getShortfall(wanted, vm) }))
      .sort((a, b) => a.shortfall - b.shortfall);
    if (best !== undefined) {
      this._agents.set(task, best.agent);
    }
    return best?.agent;
  }

  /**
   * Removes the reservation of a task that has been placed.
   * @param task - Id of the task.
   */
  release(task: string): void {
    this._agents.delete(task);
  }
}

/** Gets the largest share of any resource of the VM that would have to be freed for a request. */
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
