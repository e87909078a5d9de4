/**
 * Names of the incarnations of workers.
 */

/**
 * Returns the start of an incarnation, in Unix milliseconds.
 * @param worker - Name of the incarnation.
 */
export function getStartTime(worker: string): number {
  return Number(worker.slice(worker.lastIndexOf("@") + 1));
}

/**
 * Returns the name of an incarnation of a worker.
 * @param id - Id of the worker.
 * @param startedAtMs - Start of its process, in Unix milliseconds.
 */
export function formatIncarnation(id: string, startedAtMs: number): string {
  return `${id}@${startedAtMs}`;
}

/**
 * Returns whether an incarnation started later than another one under the same id, so that it may
 * execute late calls to that one.
 * @param next - Name of the incarnation.
 * @param worker - Name of the other incarnation.
 */
export function isSuccessor(next: string, worker: string): boolean {
  return getId(next) === getId(worker) && getStartTime(next) > getStartTime(worker);
}

function getId(worker: string): string {
  return worker.slice(0, worker.lastIndexOf("@"));
}
