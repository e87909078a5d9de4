/**
 * Runs of a pool that are not known to have ended, by agent, and the resources that they commit on
 * the workers.
 */
import type { ActiveRun, TaskState } from "../../state/pool/TaskState.ts";
import { getCommittedResources } from "./stepResources.ts";
import type { WorkerTable } from "./WorkerTable.ts";

/** An active run with its task. */
export interface ActiveTaskRun {
  readonly task: TaskState;
  readonly active: ActiveRun;
}

/** Table of the active runs of a pool. */
export class ActiveRunTable {
  private readonly _workerTable: WorkerTable;
  private readonly _byAgent = new Map<string, Set<TaskState>>();

  /**
   * Creates an empty table.
   * @param workerTable - Table of the workers on which the resources are committed.
   */
  constructor(workerTable: WorkerTable) {
    this._workerTable = workerTable;
  }

  /**
   * Adds an active run of a task and commits its resources.
   * @param task - The task.
   * @param active - The run.
   */
  add(task: TaskState, active: ActiveRun): void {
    const tasks = this._byAgent.get(active.agent) ?? new Set<TaskState>();
    this._byAgent.set(active.agent, tasks.add(task));
    this._workerTable.commit(active.worker, getCommittedResources(task.definition));
  }

  /**
   * Removes a run that has certainly ended or never started, and releases its resources.
   * @param task - The task.
   * @param active - The run.
   */
  remove(task: TaskState, active: ActiveRun): void {
    task.removeRun(active.run);
    this._workerTable.release(active.worker, getCommittedResources(task.definition));
    if (!task.activeRuns.some(({ agent }) => agent === active.agent)) {
      this._byAgent.get(active.agent)?.delete(task);
    }
  }

  /**
   * Returns the active runs of an agent's worker.
   * @param agent - Name of the agent.
   */
  getByAgent(agent: string): readonly ActiveTaskRun[] {
    return [...(this._byAgent.get(agent) ?? [])].flatMap((task) =>
      task.activeRuns
        .filter((active) => active.agent === agent)
        .map((active): ActiveTaskRun => ({ task, active })),
    );
  }

  /**
   * Makes all lists of an agent's next process count as later than the calls of the former one. Runs
   * that the next process has started already have call numbers of its own, which stay: a call in
   * progress may return lists that were made before the order.
   * @param agent - Name of the agent.
   * @param process - The next process.
   */
  resetCallNumbers(agent: string, process: string): void {
    this.getByAgent(agent)
      .filter(({ active }) => active.callNumber !== undefined && active.callProcess !== process)
      .forEach(({ task, active }) => {
        task.updateRun(active.run, { callNumber: 0, callProcess: process });
      });
  }

  /** Names of the agents that have or had active runs. */
  get agents(): readonly string[] {
    return [...this._byAgent.keys()];
  }

  /** Returns all active runs. */
  getAll(): readonly ActiveTaskRun[] {
    return this.agents.flatMap((agent) => this.getByAgent(agent));
  }
}

/** Call of a process of an agent for the lists of its worker. */
export interface ListCall {
  readonly process: string;
  readonly callNumber: number;
}

/**
 * Returns whether lists were made after the order that was last executed for a run.
 * @param active - The run.
 * @param lists - Call that returned the lists.
 */
export function isShownBy(active: ActiveRun, lists: ListCall): boolean {
  return (
    active.callNumber !== undefined &&
    active.callProcess === lists.process &&
    lists.callNumber > active.callNumber
  );
}

/**
 * Returns the name of a run, which no other run has.
 * @param taskRun - The run.
 */
export function getRunKey({ task, active }: ActiveTaskRun): string {
  return formatRunKey(task.id, active.run);
}

/**
 * Returns the name of a run as its worker lists it.
 * @param task - Id of its task.
 * @param run - Number of the run.
 */
export function formatRunKey(task: string, run: number): string {
  return `${task} ${run}`;
}
