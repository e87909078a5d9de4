/**
 * Says whether a run is still wanted, from what is decided about its job and its task. The decisions
 * are stored, so that each scheduler derives the same for the runs that it finds, whether it has made
 * the decisions itself or a former one that could not stop all runs any more.
 */
import type { JobState } from "../../state/pool/JobState.ts";
import type { ActiveTaskRun } from "./ActiveRunTable.ts";

/**
 * Returns why a run is not wanted any more; undefined if it is.
 * @param job - Its job; undefined if the job is not kept any more.
 * @param taskRun - The run.
 */
export function findStopReason(
  job: JobState | undefined,
  { task, active }: ActiveTaskRun,
): string | undefined {
  if (job === undefined) {
    return "its job is not kept any more";
  }
  if (job.phase === "failed") {
    return "the job has failed";
  }
  if (job.isCancelled || job.phase === "cancelled") {
    return "the job was cancelled";
  }
  // The members of a gang's run end by themselves when one of them is done.
  return task.isDone && active.run !== task.doneGangRun
    ? "another run of the task is done"
    : undefined;
}
