/**
 * A change of the manifest that removes a route and adds one with another name and the same host and
 * prefix. The client of an accepted submission asks for it as before, and then cancels it.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { runCase } from "../support-2/runCase.ts";
import { TestSystem } from "../support-2/TestSystem.ts";

const ID = "5c0e7a21d94b36f8";
const TASKS = 2;
const TASK_CPU = 6_400;
const READY_MS = 3_000;
/** Bounds `visible_ms`, `config_apply_ms`, `cancel_ms` and `stop_ms`, in milliseconds. */
const VISIBLE_MS = 3_000;
const CONFIG_APPLY_MS = 2_000;
const CANCEL_MS = 3_000;
const STOP_MS = 400;
const SLACK_MS = 1_000;
const ENTRIES = [0, 1, 2];

await runCase(9, async (record, hasTrouble) => {
  const system = new TestSystem(record, {
    ...{ entries: ENTRIES.length, workers: 3, cpu: 32_000 },
    getLoad: () => ({ cpu: TASK_CPU, workMs: undefined }),
  });
  await system.start();
  await sleep(READY_MS);
  const step = { task_count: TASKS, cpu: TASK_CPU, mem_mb: 1_024, estimate_ms: 400 };
  const body = JSON.stringify({ spec: "watch", steps: [{ ...step, long_running: true }] });
  const { status } = await system.call(0, "POST", ID, body);
  record.add(`submission of ${TASKS} tasks that last: ${status}`);
  await sleep(VISIBLE_MS + SLACK_MS);
  const countRunning = (): number =>
    system.journal.filter(({ endedAt }) => endedAt === undefined).length;
  await Promise.all(ENTRIES.map((entry) => system.getState(entry, ID)));
  if (status !== 200 || countRunning() < TASKS) {
    throw new Error("the submission does not run");
  }
  if (hasTrouble) {
    system.replaceRoute("rota-2");
    record.add("the manifest has another route with the same host and prefix");
  }
  await sleep(CONFIG_APPLY_MS + SLACK_MS);
  const states = await Promise.all(ENTRIES.map((entry) => system.getState(entry, ID)));
  const cancelled = await system.call(1, "DELETE", ID);
  record.add(`DELETE: ${cancelled.status}`);
  await sleep(CANCEL_MS + STOP_MS + SLACK_MS);
  const running = countRunning();
  record.add(`tasks at work ${(CANCEL_MS + STOP_MS + SLACK_MS) / 1_000} s later: ${running}`);
  await system.end();
  return states.some((state) => state === "status 410")
    ? `nobody has cancelled the submission and its tasks run, and a GET gets ${states.join(", ")}; after the DELETE ${running} tasks run on`
    : undefined;
});
