/**
 * Tests of the stored form of a job's progress.
 */
import test from "ava";
import fc from "fast-check";
import {
  formatProgress,
  parseProgress,
  readOwnProgress,
} from "../../../src/state/pool/progressValue.ts";
import type { ProgressRecord, TaskRecord } from "../../../src/state/pool/records.ts";

const SEED = Number(process.env.FIREFLYLB_SEED ?? 20_261_207);
const TASKS = 39;

const run = fc.integer({ min: 1, max: 5 });
const worker = fc.constantFrom("i-1@100", "i-2@100", "i-2@200", "a i-1@100");
const activeRun = fc.record({
  run,
  agent: fc.constantFrom("agent-a", "agent-b", "agent-a a"),
  worker,
});
const task: fc.Arbitrary<TaskRecord> = fc.record(
  {
    run,
    done: fc.constant(true),
    failures: run,
    crashes: run,
    crashedAfterMs: run,
    checkpoint: fc.constantFrom("a", "b"),
    active: fc.uniqueArray(activeRun, {
      minLength: 1,
      maxLength: 2,
      selector: (active) => active.run,
    }),
    givenUp: fc.array(fc.record({ run, worker }), { minLength: 1, maxLength: 2 }),
  },
  { requiredKeys: ["run"] },
);
const position = fc
  .tuple(fc.nat({ max: 1 }), fc.nat({ max: 2 }), fc.nat({ max: 12 }))
  .map((parts) => parts.join("."));
const progress: fc.Arbitrary<ProgressRecord> = fc.record({
  phase: fc.constantFrom("queued", "running", "completed", "failed", "cancelled"),
  tasks: fc.dictionary(position, task, { noNullPrototype: true }),
});

/** Sorts what has no order of its own. */
function normalise({ phase, tasks }: ProgressRecord): ProgressRecord {
  const sorted = Object.entries(tasks).map(([key, { active, ...others }]): [string, TaskRecord] => {
    const runs = active?.toSorted((a, b) => a.run - b.run);
    return [key, { ...others, ...(runs === undefined ? {} : { active: runs }) }];
  });
  return { phase, tasks: Object.fromEntries(sorted) };
}

/** Creates the progress of a job of two steps: one is done, each task of the other is on a worker. */
function createWideProgress(): ProgressRecord {
  const done = Array.from({ length: TASKS }, (_, index): [string, TaskRecord] => [
    `0.0.${index}`,
    { run: 1, done: true },
  ]);
  const running = Array.from({ length: TASKS }, (_, index): [string, TaskRecord] => {
    const agent = `side-gj-west-a-${index}`;
    const incarnation = `i-02${index}9e21dc@1769523623800`;
    return [`0.1.${index}`, { run: 1, active: [{ run: 1, agent, worker: incarnation }] }];
  });
  return { phase: "running", tasks: Object.fromEntries([...done, ...running]) };
}

test("formatProgress loses nothing of any progress", (t) => {
  t.log(`seed ${SEED}`);
  const property = fc.property(progress, (record) => {
    const value = formatProgress(record);
    t.deepEqual(normalise(parseProgress(value)._unsafeUnwrap()), normalise(record));
    t.deepEqual(readOwnProgress(value), parseProgress(value)._unsafeUnwrap());
  });
  fc.assert(property, { seed: SEED });
  t.pass();
});

test("parseProgress reads progress that a former version stored", (t) => {
  const record = createWideProgress();
  t.deepEqual(parseProgress(JSON.stringify(record))._unsafeUnwrap(), record);
});

// Guards against tasks that run twice, as an entry of a former version takes done tasks for new ones.
test("formatProgress leaves out the field without which former versions reject progress", (t) => {
  t.false("tasks" in (JSON.parse(formatProgress(createWideProgress())) as object));
});

// Guards against progress whose size fills the links of all entries: it is written for each change of
// a task, and each entry receives it.
test("formatProgress takes less than half of an object for each task, also with a task on each worker", (t) => {
  const record = createWideProgress();
  const bytes = formatProgress(record).length;
  const formerBytes = JSON.stringify(record).length;
  t.log(`${bytes} bytes, formerly ${formerBytes}`);
  t.true(bytes < formerBytes / 2);
});

// Guards against a job that no scheduler takes over, as its progress outgrows a value of the store.
test("formatProgress stores a large job that is done in a few bytes", (t) => {
  const tasks = Object.fromEntries(
    Array.from({ length: 36_000 }, (_, index): [string, TaskRecord] => [
      `0.0.${index}`,
      { run: 1, done: true },
    ]),
  );
  const value = formatProgress({ phase: "running", tasks });
  t.true(value.length < 200);
  t.is(Object.keys(parseProgress(value)._unsafeUnwrap().tasks).length, 36_000);
});

test("parseProgress rejects ranges of more tasks than memory should hold", (t) => {
  const ranges = Array.from({ length: 4 }, () => [1, 0, 99_999]);
  const odd = { phase: "running", done: { "0.0": ranges }, runs: [], checkpoints: {}, others: {} };
  const { detail } = parseProgress(JSON.stringify(odd))._unsafeUnwrapErr();
  t.regex(detail, /done: more than 300000 tasks/);
});
