/**
 * A heartbeat of another writer, which names a service that no manifest names, reaches the agent of a
 * worker that runs tasks.
 */
import { PREFIX, sleep, until, type Deployment } from "../support/Deployment.ts";
import { runCase } from "../support/runCase.ts";
import { sendJson } from "../support/sendJson.ts";

const JOB = "5c0e7a21d94b36f8";
const TASKS = 4;
/** Time of work that outlasts the watch. */
const WORK_MS = 12_000;
const WATCH_MS = 6_000;

runCase(
  {
    ...{ entries: 2, workers: 3, cpu: 16_000, memMb: 64_000 },
    getNeeds: () => ({ cpu: 1_800, memMb: 3_200, workMs: WORK_MS }),
  },
  async ({ deployment, record, hasTrouble }) => {
    const [entry] = deployment.entries;
    if (entry === undefined) {
      throw new Error("no entry");
    }
    const step = { task_count: TASKS, cpu: 1_800, mem_mb: 3_200, estimate_ms: WORK_MS };
    const path = `${PREFIX}${JOB}`;
    await deployment.call(entry, "POST", path, { spec: "text", steps: [step] });
    await until("all tasks run", 5_000, () => getRuns(deployment).length === TASKS);
    await sleep(500);
    const side = deployment.sides.find(({ worker }) => (worker.life?.runs.length ?? 0) > 0);
    if (side === undefined) {
      throw new Error("no worker runs a task");
    }
    if (hasTrouble) {
      const { address, zone, rack } = side.worker.options;
      const { status } = await sendJson("PUT", side.announcements, "/v1/instances/i-61d0be44", {
        ...{ service: "other-service", address, zone, version: "v1", slots: 8, state: "ready" },
        ...{ cold_remaining_ms: 0, capacity: { cpu: 4_000, mem_mb: 8_000, gpu: 0 } },
        ...{ labels: ["a", rack], clock_ms: 100, seq_no: 1, born: Date.now() },
      });
      record.add("platform", `a heartbeat of another writer -> ${status}`);
    }
    const until_ = record.nowMs + WATCH_MS;
    while (record.nowMs < until_) {
      const double = findDouble(deployment);
      if (double !== undefined) {
        return `TWICE: ${double}`;
      }
      await sleep(20);
    }
    return "";
  },
);

interface LocatedRun {
  readonly worker: string;
  readonly task: string;
  readonly run: number;
}

function getRuns({ sides }: Deployment): readonly LocatedRun[] {
  return sides.flatMap(({ worker }) =>
    (worker.life?.runs ?? []).map(({ task, run }) => ({ worker: worker.options.name, task, run })),
  );
}

function findDouble(deployment: Deployment): string | undefined {
  const runs = getRuns(deployment);
  const twin = runs.find(({ task }, index) =>
    runs.slice(index + 1).some((other) => other.task === task),
  );
  return (
    twin &&
    runs
      .filter(({ task }) => task === twin.task)
      .map(({ worker, task, run }) => `${task} run ${run} runs on ${worker}`)
      .join(", ")
  );
}
