/**
 * The runs of a pool that are not known to have ended, by agent, and what they hold of the workers.
 */
import { formatTaskPosition, type TaskAddress } from "../../protocol/pool/TaskId.ts";
import type { ActiveRun, TaskState } from "../../state/pool/TaskState.ts";
import { getCommittedResources } from "./PlacementState.ts";
import type { WorkerTable } from "./WorkerTable.ts";

/** A run with its task. */
export interface ActiveTaskRun {
  readonly task: TaskState;
  readonly active: ActiveRun;
}

/** Runs that hold room. */
export class ActiveRunTable {
  private readonly _table: WorkerTable;
  private readonly _byAgent = new Map<string, Set<TaskState>>();

  /**
   * Creates an empty book.
   * @param table - Workers on which the room is committed.
   */
  constructor(table: WorkerTable) {
    this._table = table;
  }

  /**
   * Books a run that its task holds already.
   * @param task - The task.
   * @param active - The run.
   */
  add(task: TaskState, active: ActiveRun): void {
    const tasks = this._byAgent.get(active.agent) ?? new Set<TaskState>();
    this._byAgent.set(active.agent, tasks.add(task));
    this._table.commit(active.worker, getCommittedResources(task.definition));
  }

  /**
   * Takes a run off that certainly does not run any more.
   * @param task - The task.
   * @param active - The run.
   */
  remove(task: TaskState, active: ActiveRun): void {
    task.removeRun(active.run);
    this._table.release(active.worker, getCommittedResources(task.definition));
    if (!task.activeRuns.some(({ agent }) => agent === active.agent)) {
      this._byAgent.get(active.agent)?.delete(task);
    }
  }

  /**
   * Gives the runs of an agent's worker.
   * @param agent - Name of the agent.
   */
  getByAgent(agent: string): readonly ActiveTaskRun[] {
    return [...(this._byAgent.get(agent) ?? [])].flatMap((task) =>
      task.activeRuns
        .filter((active) => active.agent === agent)
        .map((active): ActiveTaskRun => ({ task, active })),
    );
  }

  /** Gives all runs. */
  getAll(): readonly ActiveTaskRun[] {
    return [...this._byAgent.keys()].flatMap((agent) => this.getByAgent(agent));
  }
}

/**
 * Gives the step of a task as text, for counting tasks of one step.
 * @param address - The task.
 */
export function getStepKey(address: TaskAddress): string {
  return `${address.job}.${formatTaskPosition({ ...address, index: 0 })}`;
}
