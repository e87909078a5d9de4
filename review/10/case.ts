/**
 * A worker that leaves a small share of its orders unanswered and carries them out late, crashes and
 * starts again under its id. What was done must not start again.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { runCase } from "../support-2/runCase.ts";
import { TestSystem } from "../support-2/TestSystem.ts";

const WORKERS = 10;
const KIND = "b";
const TASK_CPU = 480;
const TASK_MS = 250;
const STEP_TASKS = 60;
const SUBMISSION_INTERVAL_MS = 250;
/** Share of the starts that get no answer: one of 17, below 0.06. */
const LATE_EVERY = 17;
const LATE_FOR_MS = 5_500;
/** Steps of the worker after that, in milliseconds: down and up by turns, each time under its id. */
const STEPS_MS = [0, 870, 1_740, 2_610, 3_480, 4_350, 5_220, 6_090];
const LOOK_MS = 14_000;
const READY_MS = 3_000;

await runCase(10, async (record, hasTrouble) => {
  const system = new TestSystem(record, {
    ...{ entries: 3, workers: WORKERS, cpu: 32_000 },
    getKind: (position) => (position === 0 ? KIND : "a"),
    getLoad: () => ({ cpu: TASK_CPU, workMs: TASK_MS }),
  });
  await system.start();
  await sleep(READY_MS);
  const [machine] = system.machines;
  if (machine === undefined) {
    throw new Error("no worker");
  }
  const size = { task_count: STEP_TASKS, cpu: TASK_CPU, mem_mb: 64, estimate_ms: TASK_MS };
  const body = JSON.stringify({ spec: "swap", steps: [{ ...size, required_label: KIND }] });
  machine.worker.lateEvery = hasTrouble ? LATE_EVERY : 0;
  const startedAt = performance.now();
  let count = 0;
  while (performance.now() - startedAt < LATE_FOR_MS) {
    count += 1;
    const { status } = await system.call(count, "POST", count.toString(16).padStart(16, "0"), body);
    record.addChange("submissions are answered with", String(status));
    await sleep(SUBMISSION_INTERVAL_MS);
  }
  machine.worker.lateEvery = 0;
  const downAt = performance.now();
  record.add(`the orders are answered again, after ${system.journal.length} runs`);
  for (const [position, stepMs] of (hasTrouble ? STEPS_MS : []).entries()) {
    await sleep(Math.max(0, downAt + stepMs - performance.now()));
    const isDown = position % 2 === 0;
    await (isDown ? machine.worker.crash() : machine.startNextLife(true));
    record.add(`worker ${machine.worker.id} ${isDown ? "goes down" : "is up"}`);
  }
  await sleep(LOOK_MS);
  const doneRuns = new Map(
    system.journal
      .filter(({ how, isNoted }) => how === "done" && isNoted)
      .map((run) => [run.start.task, run]),
  );
  const again = system.journal.filter((run) => {
    const done = doneRuns.get(run.start.task);
    return done !== undefined && done !== run && (done.endedAt ?? 0) < run.startedAt;
  });
  again.forEach(({ start, startedAt: at, how }) => {
    const done = doneRuns.get(start.task);
    const agoMs = Math.round(at - (done?.endedAt ?? 0));
    record.add(
      `${start.task} run ${start.run} starts ${agoMs} ms after run ${String(done?.start.run)} was done: ${how}`,
    );
  });
  record.add(`${count} submissions, ${system.journal.length} runs`);
  await system.end();
  return again.length === 0
    ? undefined
    : `${again.length} tasks start again after a run was done and its end taken note of`;
});
