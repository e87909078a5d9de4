/**
 * Placement by first fit in order of arrival, urgent tasks first: the baseline.
 */
import { fits, subtractResources, type Resources } from "../../protocol/Resources.ts";
import {
  Placer,
  type PendingTask,
  type Placement,
  type PlacementInput,
  type PlacementPlan,
} from "./Placer.ts";

/** Starts each task on the first VM that has room. */
export class FirstFitPlacer extends Placer {
  override plan(input: PlacementInput): PlacementPlan {
    const free = new Map(
      input.vms
        .filter((vm) => !vm.draining)
        .map((vm) => [vm.agent, subtractResources(vm.capacity, vm.committed)]),
    );
    const ordered = input.pending.toSorted(
      (a, b) => Number(b.urgent) - Number(a.urgent) || a.readyAt - b.readyAt,
    );
    const placements = ordered
      .slice(0, input.limit)
      .flatMap((task) => FirstFitPlacer._place(task, free));
    const placed = new Set(placements.map((placement) => placement.task));
    const waiting = ordered
      .filter((task) => !placed.has(task.task))
      .map((task) => ({ task: task.task, unschedulable: false, reason: "no VM has room" }));
    return { placements, waiting };
  }

  override recordOutcome(): void {
    // First fit does not learn.
  }

  private static _place(task: PendingTask, free: Map<string, Resources>): readonly Placement[] {
    const found = [...free].find(([, room]) => fits(task.resources, room));
    if (found === undefined) {
      return [];
    }
    const [agent, room] = found;
    free.set(agent, subtractResources(room, task.resources));
    return [{ task: task.task, agent }];
  }
}
