/**
 * An unhealthy worker that refuses to start anything, and submissions that only this worker may run.
 * None of them has begun, and the queue says how many are pending.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { runCase } from "../support-2/runCase.ts";
import { TestSystem } from "../support-2/TestSystem.ts";

const WORKERS = 12;
const SUBMISSIONS = 6;
const TASK_CPU = 480;
const TASK_MS = 500;
const KIND = "b";
const UNHEALTHY_MS = 6_500;
/** Bound `visible_ms` and the two seconds of the rule, in milliseconds. */
const VISIBLE_MS = 3_000;
const SLACK_MS = 2_000;
const POLL_MS = 100;
const READY_MS = 3_000;
const FINISH_MS = 20_000;

await runCase(10, async (record, hasTrouble) => {
  const system = new TestSystem(record, {
    ...{ entries: 3, workers: WORKERS, cpu: 32_000 },
    getKind: (position) => (position === 0 ? KIND : "a"),
    // Without the disruption the worker is not free until then: the submissions wait for room.
    getLoad: (task) => ({
      cpu: task.startsWith("f") ? 32_000 : TASK_CPU,
      workMs: task.startsWith("f") ? UNHEALTHY_MS : TASK_MS,
    }),
  });
  await system.start();
  await sleep(READY_MS);
  const worker = system.machines[0]?.worker;
  const create = (cpu: number, estimateMs: number): string =>
    JSON.stringify({
      spec: "swap",
      steps: [{ task_count: 1, cpu, mem_mb: 64, estimate_ms: estimateMs, required_label: KIND }],
    });
  if (worker !== undefined && hasTrouble) {
    worker.refusesStartsWith = 503;
    record.add(`worker ${worker.id} is unhealthy: it refuses starts with 503`);
  } else {
    const { status } = await system.call(0, "POST", "f".repeat(16), create(32_000, UNHEALTHY_MS));
    record.add(`submission that takes all of the worker: ${status}`);
    await sleep(POLL_MS);
  }
  const ids = Array.from({ length: SUBMISSIONS }, (_, number) => `5c0e7a21d94b36f${number}`);
  const accepted = await Promise.all(
    ids.map((id) => system.call(0, "POST", id, create(TASK_CPU, TASK_MS))),
  );
  record.add(`${SUBMISSIONS} submissions: ${accepted.map(({ status }) => status).join(" ")}`);
  await sleep(VISIBLE_MS + SLACK_MS + POLL_MS);
  const isBegun = system.journal.some(({ start }) => ids.includes(start.task.split(".")[0] ?? ""));
  const counts = await Promise.all(
    [0, 1, 2].map(async (entry) => Number((await system.call(entry, "GET", "")).body.pending)),
  );
  record.add(`pending at the entries: ${counts.join(" ")}; ${isBegun ? "some" : "none"} has begun`);
  await Promise.all(ids.map((id) => system.getState(1, id)));
  if (worker !== undefined) {
    worker.refusesStartsWith = undefined;
  }
  const until = performance.now() + FINISH_MS;
  const areDone = async (): Promise<boolean> =>
    (await Promise.all(ids.map((id) => system.getState(1, id)))).every((s) => s === "completed");
  while (!(await areDone()) && performance.now() < until) {
    await sleep(POLL_MS);
  }
  await system.end();
  if (isBegun) {
    throw new Error("a submission began while the worker was not free");
  }
  return counts.some((count) => count < SUBMISSIONS / 2)
    ? `${SUBMISSIONS} accepted submissions have not begun, and the entries give as pending ${counts.join(" ")}`
    : undefined;
});
