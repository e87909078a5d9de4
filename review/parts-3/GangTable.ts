/**
 * Gangs on the workers of one deployment: which members of a run are present, and since when all of
 * them are. Members that carry different checkpoints are not the members of one state, so that they
 * do not work together.
 */

/** A member of a gang's run on a worker. */
export interface GangMember {
  readonly task: string;
  readonly checkpoint: string;
}

/** Gangs of one deployment. */
export class GangTable {
  private readonly _gangs = new Map<string, Map<string, GangMember>>();

  /**
   * Adds a member that has been started.
   * @param task - Its task.
   * @param run - Number of the run.
   * @param checkpoint - Checkpoint that its start carried.
   */
  add(task: string, run: number, checkpoint: string): void {
    const key = getGangKey(task, run);
    const members = this._gangs.get(key) ?? new Map<string, GangMember>();
    this._gangs.set(key, members.set(task, { task, checkpoint }));
  }

  /**
   * Removes a member that has ended.
   * @param task - Its task.
   * @param run - Number of the run.
   */
  remove(task: string, run: number): void {
    this._gangs.get(getGangKey(task, run))?.delete(task);
  }

  /**
   * Returns whether all members of a run are present and carry the same checkpoint.
   * @param task - A task of the gang.
   * @param run - Number of the run.
   * @param size - Number of members.
   */
  isComplete(task: string, run: number, size: number): boolean {
    const members = [...(this._gangs.get(getGangKey(task, run))?.values() ?? [])];
    const checkpoints = new Set(members.map(({ checkpoint }) => checkpoint));
    return members.length === size && checkpoints.size === 1;
  }
}

function getGangKey(task: string, run: number): string {
  return `${task.slice(0, task.lastIndexOf("."))} ${run}`;
}
