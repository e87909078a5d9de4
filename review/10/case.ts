/**
 * A submission whose `spec` ends with half of a pair of code units, as where a client cuts a text at a
 * length. The worker has to get the same text.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { runCase } from "../support-2/runCase.ts";
import { TestSystem } from "../support-2/TestSystem.ts";

const ID = "5c0e7a21d94b36f8";
const TASK_CPU = 480;
const TASK_MS = 300;
const TEXT = "Night desk, Surat \u{1f4f7}";
const MAX_MS = 15_000;
const POLL_MS = 100;

await runCase(10, async (record, hasTrouble) => {
  const system = new TestSystem(record, {
    ...{ entries: 3, workers: 3, cpu: 32_000 },
    getLoad: () => ({ cpu: TASK_CPU, workMs: TASK_MS }),
  });
  await system.start();
  const spec = hasTrouble ? TEXT.slice(0, -1) : TEXT;
  const step = { task_count: 2, cpu: TASK_CPU, mem_mb: 64, estimate_ms: TASK_MS };
  const body = JSON.stringify({ spec, steps: [step] });
  record.add(`body that is sent: ${body}`);
  record.add(`answer: ${(await system.call(0, "POST", ID, body)).status}`);
  const until = performance.now() + MAX_MS;
  while ((await system.getState(1, ID)) !== "completed" && performance.now() < until) {
    await sleep(POLL_MS);
  }
  system.journal.forEach(({ worker, start }) => {
    record.add(`${worker} is told to start ${start.task} with spec ${JSON.stringify(start.spec)}`);
  });
  const other = system.journal.find(({ start }) => start.spec !== spec);
  await system.end();
  if (system.journal.length === 0) {
    throw new Error("no task has started");
  }
  return other && `a worker is told to start a task with spec ${JSON.stringify(other.start.spec)}`;
});
