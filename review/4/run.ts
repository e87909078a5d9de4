/**
 * A machine with its worker is lost for good, and the entry that schedules the pool is killed shortly
 * after; the machine had tasks that last.
 */
import { PREFIX, sleep, until, type Deployment } from "../support/Deployment.ts";
import { runCase } from "../support/runCase.ts";

const JOB = "5c0e7a21d94b36f8";
const TASKS = 6;
/** Time from the loss of the machine to the kill of the scheduling entry, in milliseconds. */
const LEADER_KILL_MS = 2_000;
/** Short delay after which the platform starts a killed process again. */
const RESTART_MS = 500;
/**
 * Longest time that a task that lasts may be without a run: 6 s after its last run, and the 3 s for
 * which nothing of it runs, if these and the 4 s before are calm. Its process is back after 2.5 s.
 */
const LIMIT_MS = Math.max(6_000, LEADER_KILL_MS + RESTART_MS + 4_000) + 3_000;
/** Beyond the limit, for `contact_ms` after the last impairment. */
const CONTACT_MS = 3_000;

runCase(
  {
    ...{ entries: 2, workers: 3, cpu: 16_000, memMb: 64_000 },
    getNeeds: () => ({ cpu: 1_800, memMb: 3_200, workMs: undefined }),
  },
  async ({ deployment, record, hasTrouble }) => {
    const { leader } = deployment;
    const other = deployment.entries.find((entry) => entry !== leader);
    if (leader === undefined || other === undefined) {
      throw new Error("no entry schedules the pool");
    }
    const step = { task_count: TASKS, cpu: 1_800, mem_mb: 3_200, long_running: true };
    await deployment.call(other, "POST", `${PREFIX}${JOB}`, { spec: "text", steps: [step] });
    await until("all tasks run", 5_000, () => countRuns(deployment) === TASKS);
    await sleep(2_000);
    const side = deployment.sides.find(({ worker }) => (worker.life?.runs.length ?? 0) > 0);
    if (side === undefined) {
      throw new Error("no worker runs a task");
    }
    const lostAt = record.nowMs;
    if (hasTrouble) {
      record.add("platform", `${side.program.name} is lost for good, with its worker`);
      side.program.kill();
      side.worker.crash();
      await sleep(LEADER_KILL_MS);
      record.add("platform", `kills ${leader.program.name}, the last to write under a condition`);
      leader.program.kill();
      await sleep(RESTART_MS);
      record.add("platform", `starts ${leader.program.name}`);
      leader.program.start();
    }
    while (record.nowMs - lostAt < LIMIT_MS + CONTACT_MS) {
      await sleep(50);
    }
    const missing = TASKS - countRuns(deployment);
    record.add("platform", `${missing} of ${TASKS} tasks have no run`);
    await sleep(10_000);
    record.add("platform", `${countRuns(deployment)} of ${TASKS} tasks run 10 s later`);
    return missing === 0
      ? ""
      : `LOST: ${missing} tasks that last had no run for ${LIMIT_MS + CONTACT_MS} ms`;
  },
);

function countRuns({ sides }: Deployment): number {
  return sides.reduce((sum, { worker }) => sum + (worker.life?.runs.length ?? 0), 0);
}
