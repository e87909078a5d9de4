/**
 * One of twenty submissions can never be done. After it, a sound submission that needs the same
 * worker has nothing running, although this worker is healthy and idle.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { runCase, type CaseContext } from "../parts-3/runCase.ts";

const SOUND = 19;
const WORK_MS = 900;
const POISON_MS = 300;
const POISON_TASKS = 6;
/** Time between two submissions: twenty of them come within 3 s. */
const INTERVAL_MS = 150;
const SOUND_ID = "ffffffffffffffff";
const FINISH_MS = 14_000;
const IDLE_MS = 3_000;
const POLL_MS = 100;

function createSubmission(label: string, taskCount: number, failsAfterMs?: number): unknown {
  const spec = JSON.stringify([{ workMs: WORK_MS, failsAfterMs, cpu: 480, memMb: 960 }]);
  const step = { task_count: taskCount, cpu: 480, mem_mb: 960, estimate_ms: WORK_MS };
  return { spec, steps: [label === "" ? step : { ...step, required_label: label }] };
}

async function play({ deployment, record, hasTrouble }: CaseContext): Promise<readonly string[]> {
  const { workers } = deployment;
  const rack = "r1-2";
  const worker = workers.find((each) => each.rack === rack);
  if (worker === undefined || workers.filter((each) => each.rack === rack).length !== 1) {
    throw new Error("the rack has not just one worker");
  }
  for (let number = 0; number < SOUND; number += 1) {
    const id = number.toString(16).padStart(16, "0");
    await deployment.call(number % 3, "POST", id, createSubmission("", 6));
    await sleep(INTERVAL_MS);
  }
  if (hasTrouble) {
    await deployment.call(
      0,
      "POST",
      "eeeeeeeeeeeeeeee",
      createSubmission(rack, POISON_TASKS, POISON_MS),
    );
  }
  await sleep(2_000);
  const posted = await deployment.call(1, "POST", SOUND_ID, createSubmission(rack, 1));
  if (posted.status !== 200) {
    throw new Error("the submission was not accepted");
  }
  await sleep(FINISH_MS);
  const until = record.now + IDLE_MS;
  let hasRun = false;
  let isBusy = false;
  while (record.now < until && !hasRun) {
    const all = workers.flatMap(({ life }) => [...(life?.runs ?? []), ...(life?.ends ?? [])]);
    hasRun = all.some(({ task }) => task.startsWith(SOUND_ID));
    isBusy ||= workers.some(({ life }) => (life?.runs.length ?? 0) > 0);
    await sleep(POLL_MS);
  }
  const state = (await deployment.call(1, "GET", SOUND_ID)).body.state;
  record.add(`state ${String(state)}; runs elsewhere: ${String(isBusy)}`);
  return hasRun || isBusy
    ? []
    : [
        `submission ${SOUND_ID} has had nothing running for ${FINISH_MS + IDLE_MS} ms beside idle workers`,
      ];
}

await runCase("13", { entries: 3, workers: [4, 4, 3] }, play);
