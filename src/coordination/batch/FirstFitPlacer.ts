/**
 * First-fit placement in order of arrival, urgent tasks first. Serves as the baseline for
 * comparisons.
 */
import { fits, subtractResources, type Resources } from "../../protocol/Resources.ts";
import {
  Placer,
  type PendingTask,
  type Placement,
  type PlacementInput,
  type PlacementPlan,
} from "./Placer.ts";

/** Places each task on the first VM with enough free capacity. */
export class FirstFitPlacer extends Placer {
  override plan(input: PlacementInput): PlacementPlan {
    const freeByAgent = new Map(
      input.vms
        .filter((vm) => !vm.draining)
        .map((vm) => [vm.agent, subtractResources(vm.capacity, vm.committed)]),
    );
    const ordered = input.pending.toSorted(
      (a, b) => Number(b.urgent) - Number(a.urgent) || a.readyAt - b.readyAt,
    );
    const placements = ordered
      .slice(0, input.limit)
      .flatMap((task) => FirstFitPlacer._place(task, freeByAgent));
    const placed = new Set(placements.map((placement) => placement.task));
    const waiting = ordered
      .filter((task) => !placed.has(task.task))
      .map((task) => ({
        task: task.task,
        unschedulable: false,
        reason: "no VM has enough free capacity",
      }));
    return { placements, waiting };
  }

  override recordOutcome(): void {
    // First fit does not use outcomes.
  }

  private static _place(
    task: PendingTask,
    freeByAgent: Map<string, Resources>,
  ): readonly Placement[] {
    const found = [...freeByAgent].find(([, free]) => fits(task.resources, free));
    if (found === undefined) {
      return [];
    }
    const [agent, free] = found;
    freeByAgent.set(agent, subtractResources(free, task.resources));
    return [{ task: task.task, agent }];
  }
}
