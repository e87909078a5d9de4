/**
 * One of ten workers goes down and up by turns while a task that lasts has just started there.
 */
import { OTHER_PREFIX, PREFIX, sleep, until, type SideNode } from "../support/Deployment.ts";
import { runCase } from "../support/runCase.ts";

const JOB = "5c0e7a21d94b36f8";
const OTHER_JOB = "751e61c9771f2c95";
/** Time of one turn down and up, and of all of them, as the site files name them. */
const PERIOD_MS = 1_400;
const FLAP_MS = 6_500;
/** Age of the run when its worker goes down first. */
const AGE_MS = 1_000;
/** Time after which the job has to have all its tasks at work, in milliseconds. */
const CALM_MS = 15_000;

runCase(
  {
    ...{ entries: 2, workers: 10, cpu: 16_000, memMb: 64_000 },
    getNeeds: (task) => ({
      ...{ cpu: 1_800, memMb: 3_200 },
      workMs: task.startsWith(JOB) ? undefined : 60_000,
    }),
  },
  async ({ deployment, record, hasTrouble }) => {
    const [entry] = deployment.entries;
    if (entry === undefined) {
      throw new Error("no entry");
    }
    const size = { cpu: 1_800, mem_mb: 3_200 };
    await deployment.call(entry, "POST", `${OTHER_PREFIX}${OTHER_JOB}`, {
      spec: "text",
      steps: [{ task_count: 10, ...size, estimate_ms: 60_000, max_per_server: 1 }],
    });
    const isBusy = ({ worker }: SideNode): boolean => worker.life?.runs.length === 1;
    await until("all workers work", 5_000, () => deployment.sides.every(isBusy));
    await deployment.call(entry, "POST", `${PREFIX}${JOB}`, {
      spec: "text",
      steps: [{ task_count: 1, ...size, long_running: true }],
    });
    const hasJob = ({ worker }: SideNode): boolean =>
      worker.life?.runs.some(({ task }) => task.startsWith(JOB)) ?? false;
    await until("the job runs", 5_000, () => deployment.sides.some(hasJob));
    const side = deployment.sides.find(hasJob);
    if (side === undefined) {
      throw new Error("the job does not run");
    }
    await sleep(AGE_MS);
    if (hasTrouble) {
      const endsAt = record.nowMs + FLAP_MS;
      while (record.nowMs < endsAt) {
        side.worker.crash();
        await sleep(PERIOD_MS / 2);
        await side.worker.start();
        await sleep(PERIOD_MS / 2);
      }
    }
    await sleep(CALM_MS);
    const { body } = await deployment.call(entry, "GET", `${PREFIX}${JOB}`);
    const isAtWork = deployment.sides.some(hasJob);
    return body.state === "running" && isAtWork
      ? ""
      : `LOST: shown as ${String(body.state)}, ${isAtWork ? "" : "not "}at work`;
  },
);
