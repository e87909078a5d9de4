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
 * Returns whether an incarnation is another one under the same id, so that it may execute late calls
 * to the first. Its start may be the earlier one, as the clocks of workers jump.
 * @param other - Name of the incarnation.
 * @param worker - Name of the first incarnation.
 */
export function hasSameId(other: string, worker: string): boolean {
  return other !== worker && getId(other) === getId(worker);
}

function getId(worker: string): string {
  return worker.slice(0, worker.lastIndexOf("@"));
}
