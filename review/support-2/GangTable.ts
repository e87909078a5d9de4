/**
 * Gangs on the workers of one test: the tasks of a run work together from the moment when all of them
 * are there, until the first one of them is gone.
 */

interface Gang {
  readonly members: Set<string>;
  workingSince: number | undefined;
  isBroken: boolean;
}

/** Gangs by job, occurrence, step and run. */
export class GangTable {
  private readonly _gangs = new Map<string, Gang>();

  /**
   * Adds a task of a run.
   * @param task - Name of the task.
   * @param run - Number of the run.
   * @param size - Number of tasks of the gang.
   */
  enter(task: string, run: number, size: number): void {
    const key = getKey(task, run);
    const gang = this._gangs.get(key) ?? createGang();
    this._gangs.set(key, gang);
    gang.members.add(task);
    gang.workingSince ??= gang.members.size === size ? performance.now() : undefined;
  }

  /**
   * Notes that a task of a run is gone before the gang is done.
   * @param task - Name of the task.
   * @param run - Number of the run.
   */
  leave(task: string, run: number): void {
    const gang = this._gangs.get(getKey(task, run));
    if (gang !== undefined) {
      gang.isBroken = true;
    }
  }

  /**
   * Returns whether a member of a gang that worked is gone.
   * @param task - Name of a task.
   * @param run - Number of the run.
   */
  isBroken(task: string, run: number): boolean {
    return this._gangs.get(getKey(task, run))?.isBroken === true;
  }

  /**
   * Gets for how long all tasks of a run have worked, in milliseconds; undefined while some are not
   * there.
   * @param task - Name of a task.
   * @param run - Number of the run.
   */
  getWorkedMs(task: string, run: number): number | undefined {
    const since = this._gangs.get(getKey(task, run))?.workingSince;
    return since === undefined ? undefined : performance.now() - since;
  }
}

function createGang(): Gang {
  return { members: new Set(), workingSince: undefined, isBroken: false };
}

function getKey(task: string, run: number): string {
  return `${task.slice(0, task.lastIndexOf("."))} ${run}`;
}
