/**
 * A job that lasts is cancelled while the process of an agent is down, and the entry that schedules
 * the pool is killed before the agent is back.
 */
import { PREFIX, sleep, until, type Deployment } from "../support/Deployment.ts";
import { runCase } from "../support/runCase.ts";

const JOB = "5c0e7a21d94b36f8";
const TASKS = 6;
/** Time after which a killed process starts again, in milliseconds. */
const DOWN_MS = 1_500;
/** Time from the cancellation to the kill of the scheduling entry, in milliseconds. */
const LEADER_KILL_MS = 500;
const CANCEL_MS = 3_000;
const STOP_MS = 900;
const CONTACT_MS = 3_000;
/** Calm time after which a task of a cancelled job has to be gone, and as much again. */
const CALM_MS = 2 * (CONTACT_MS + CANCEL_MS + STOP_MS);

runCase(
  {
    ...{ entries: 2, workers: 3, cpu: 16_000, memMb: 64_000 },
    getNeeds: () => ({ cpu: 3_200, memMb: 6_400, workMs: undefined }),
  },
  async ({ deployment, record, hasTrouble }) => {
    const step = { task_count: TASKS, cpu: 3_200, mem_mb: 6_400, long_running: true };
    const path = `${PREFIX}${JOB}`;
    const { leader } = deployment;
    const other = deployment.entries.find((entry) => entry !== leader);
    if (leader === undefined || other === undefined) {
      throw new Error("no entry schedules the pool");
    }
    await deployment.call(other, "POST", path, { spec: "text", steps: [step] });
    await until("all tasks run", 5_000, () => getRuns(deployment).length === TASKS);
    await sleep(2_000);
    const side = deployment.sides.find(({ worker }) => (worker.life?.runs.length ?? 0) > 0);
    if (side === undefined) {
      throw new Error("no worker runs a task");
    }
    if (hasTrouble) {
      record.add("platform", `kills ${side.program.name}`);
      side.program.kill();
      setTimeout(() => {
        record.add("platform", `starts ${side.program.name}`);
        side.program.start();
      }, DOWN_MS);
    }
    const cancelled = await deployment.call(other, "DELETE", path);
    if (cancelled.status !== 200) {
      throw new Error("the job could not be cancelled");
    }
    if (hasTrouble) {
      await sleep(LEADER_KILL_MS);
      record.add("platform", `kills ${leader.program.name}, the last to write under a condition`);
      leader.program.kill();
      setTimeout(() => {
        record.add("platform", `starts ${leader.program.name}`);
        leader.program.start();
      }, DOWN_MS);
      await sleep(DOWN_MS);
    }
    await sleep(CALM_MS);
    await deployment.call(other, "GET", path);
    const runs = getRuns(deployment);
    return runs.length === 0 ? "" : `UNASKED: still at work: ${runs.join(", ")}`;
  },
);

function getRuns({ sides }: Deployment): readonly string[] {
  return sides.flatMap(({ worker }) =>
    (worker.life?.runs ?? []).map(({ task, run }) => `${task} ${run} on ${worker.options.name}`),
  );
}
