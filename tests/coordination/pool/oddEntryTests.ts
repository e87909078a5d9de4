/**
 * Tests in virtual time of entries of another writer in the store: an odd one names nothing to use,
 * the others hold, and no entry process ends.
 */
import test, { type ExecutionContext } from "ava";
import type { SubmissionOutcome } from "../../../src/coordination/pool/SubmissionService.ts";
import { formatJobKey, getAgentKey } from "../../../src/state/pool/PoolKeys.ts";
import { createJobId, createJobRecord, createStep, POOL } from "../../support/poolFixtures.ts";
import { PoolSimulation } from "./PoolSimulation.ts";
import { QUEUE } from "./simulatedPool.ts";

const WORK_MS = 500;
/** Time within which a submitted job is done, in milliseconds. */
const DONE_MS = 5_000;
const SOUND_JOB = createJobId(1);
/** Number of tasks that no array can have. */
const TOO_MANY = 2 ** 32;
const DEEP = `${"[".repeat(20_000)}${"]".repeat(20_000)}`;

/** Creates a pool whose entry schedules two agents. */
async function createPool(): Promise<PoolSimulation> {
  const simulation = new PoolSimulation();
  simulation.addEntry("entry-0");
  await Promise.all(["agent-0", "agent-1"].map((name) => simulation.addAgent(name)));
  await simulation.clock.advance(3_000);
  return simulation;
}

/** Writes a value as somebody else would. */
function write({ storeModel }: PoolSimulation, key: string, value: string): void {
  storeModel.write({ key, value, expected: storeModel.read(key)?.revision ?? 0 });
}

function getJobKey(job: string): string {
  return formatJobKey({ kind: "job", pool: POOL, job });
}

/** Submits a sound job, and asserts that it is done. */
async function assertRuns(t: ExecutionContext, simulation: PoolSimulation, job: string) {
  const [entry] = simulation.entries;
  const definition = { payload: "", steps: [createStep()], schedule: undefined };
  if (entry !== undefined) {
    await simulation.submit(entry, job, definition, WORK_MS);
  }
  await simulation.clock.advance(DONE_MS);
  t.is(entry?.coordinator.catalog.getJob(job)?.phase, "completed", simulation.log.format());
}

/** Asserts that the log has one line about each of the keys. */
function assertLoggedOnce(t: ExecutionContext, { log }: PoolSimulation, keys: readonly string[]) {
  keys.forEach((key) => {
    t.is(log.lines.filter(({ fields }) => fields.key === key).length, 1, key);
  });
}

// Guards against an accepted job of another writer that ends every entry in turn: its tasks did not
// fit into memory, or no array could hold them.
test("PoolCoordinator ignores accepted jobs with numbers that cannot be right, and runs the others", async (t) => {
  const simulation = await createPool();
  const sound = createJobRecord();
  const schedule = { firstRunAtMs: 0, intervalMs: 0, runCount: 1e9 };
  const values = [
    ...[TOO_MANY, 1e9, 1e308, 0.5, -1, 0].map((taskCount) =>
      JSON.stringify({ ...sound, steps: [createStep({ taskCount })] }),
    ),
    JSON.stringify({ ...sound, schedule, steps: [createStep({ taskCount: 0 })] }),
    JSON.stringify({ ...sound, schedule: { ...schedule, runCount: 1e308 } }),
    JSON.stringify({ ...sound, schedule: { ...schedule, intervalMs: -1 } }),
    JSON.stringify({ ...sound, steps: [createStep({ after: [0] })] }),
    JSON.stringify({ ...sound, steps: [createStep({ after: [1e308] })] }),
    JSON.stringify({ ...sound, steps: Array.from({ length: 5_000 }, () => createStep()) }),
    JSON.stringify({ ...sound, priority: "1" }),
    `{"queue":${DEEP}}`,
    `{"__proto__":${JSON.stringify(sound)}}`,
    ...[DEEP, "{", "", "null", "\ufffd"],
  ];
  const keys = values.map((value, position) => {
    const key = getJobKey(createJobId(100 + position));
    write(simulation, key, value);
    return key;
  });
  await assertRuns(t, simulation, SOUND_JOB);
  assertLoggedOnce(t, simulation, keys);
  const [key = ""] = keys;
  write(simulation, key, JSON.stringify(sound));
  await simulation.clock.advance(DONE_MS);
  const coordinator = simulation.entries[0]?.coordinator;
  t.not(coordinator?.catalog.getJob(createJobId(100))?.record, undefined);
});

// Guards against progress of another writer that ends every entry in turn: an occurrence that was
// never due was opened with all before it.
test("PoolCoordinator schedules no job whose progress names tasks that it cannot have, but the others", async (t) => {
  const simulation = await createPool();
  const positions = [
    ...[`${TOO_MANY}.0.0`, "1000000000.0.0", "1e308.0.0", "-1.0.0", "x", "", "0.0", "0.1.0"],
    ...["0.0.1", "1.0.0", "Infinity.0.0", "0.0.0.0", "0.5.0.0"],
  ];
  const records = [
    ...positions.map((position) => ({ phase: "running", tasks: { [position]: { run: 1 } } })),
    ...[1e308, 2 ** 53, 2 ** 32, 0.5, -1].flatMap((run) => [
      { phase: "running", tasks: { "0.0.0": { run } } },
      { phase: "running", tasks: { "0.0.0": { run: 1, failures: run } } },
      {
        ...{ phase: "running" },
        tasks: { "0.0.0": { run: 1, active: [{ run, agent: "agent-0", worker: "agent-0@1" }] } },
      },
    ]),
  ];
  const [entry] = simulation.entries;
  const definition = { payload: "", steps: [createStep()], schedule: undefined };
  records.forEach((record, position) => {
    const job = createJobId(200 + position);
    const key = formatJobKey({ kind: "progress", pool: POOL, job });
    write(simulation, key, JSON.stringify(record));
  });
  await simulation.clock.advance(1_000);
  if (entry !== undefined) {
    await Promise.all(
      records.map((_, position) =>
        simulation.submit(entry, createJobId(200 + position), definition, WORK_MS),
      ),
    );
  }
  await assertRuns(t, simulation, SOUND_JOB);
  const tasks = simulation.journal.map(({ task }) => task);
  t.deepEqual(
    tasks.filter((task) => !task.startsWith(SOUND_JOB)),
    [],
  );
});

// Guards against a registration of another writer under the name of an agent that replaces the sound
// one: the agent could not be reached any more, and its runs counted as lost.
test("PoolCoordinator keeps the registration of an agent when an odd one follows", async (t) => {
  const simulation = await createPool();
  const sound = { address: "10.0.0.1:7000", zone: "zone-a", pool: POOL, process: "p-0" };
  const addresses = [
    ...["10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:99999", "10.0.0.1:-1", "10.0.0.1", "", ":"],
    ...["a b:80", "999.0.0.1:80", "user@10.0.0.1:80", "10.0.0.1:80/path", "10.0.0.1:1e3"],
  ];
  const values = [
    ...addresses.map((address) => JSON.stringify({ ...sound, address })),
    JSON.stringify({ ...sound, pool: 7 }),
    JSON.stringify({ ...sound, process: "" }),
    JSON.stringify({ ...sound, zone: "z".repeat(5_000) }),
    ...[`{"address":${DEEP}}`, DEEP, "{", "", "\ufffd", `{"__proto__":${JSON.stringify(sound)}}`],
  ];
  const names = ["agent-0", "agent-1"];
  for (const value of values) {
    names.forEach((name) => {
      write(simulation, getAgentKey(name), value);
    });
    await simulation.clock.advance(100);
  }
  write(simulation, getAgentKey(""), JSON.stringify(sound));
  await assertRuns(t, simulation, SOUND_JOB);
  const scheduler = simulation.entries[0]?.coordinator.schedulers.get(POOL);
  t.is(scheduler?.state.workerTable.getAgent(""), undefined);
});

// Guards against a log that fills up, as an odd entry was logged at each read of it.
test("PoolCoordinator logs an odd entry once, however often it is read", async (t) => {
  const simulation = await createPool();
  const [entry] = simulation.entries;
  const [job, agent] = [getJobKey(createJobId(300)), getAgentKey("agent-9")];
  const labels = Array.from({ length: 20_000 }, () => 1);
  write(simulation, job, JSON.stringify({ steps: labels }));
  write(simulation, agent, "{");
  await simulation.clock.advance(1_000);
  for (let read = 0; read < 5; read += 1) {
    write(simulation, agent, "{");
    await entry?.submissions.getPhase(QUEUE, createJobId(300), simulation.clock.now() + 1_000);
    await simulation.clock.advance(1_000);
  }
  assertLoggedOnce(t, simulation, [job, agent]);
  const longest = simulation.log.lines.map(({ fields }) => JSON.stringify(fields).length);
  t.true(Math.max(...longest) < 2_000, `${Math.max(...longest)} characters`);
});

// Guards against a submitter who is told that a job is accepted which can never run, as another
// writer's value is under its key.
test("SubmissionService refuses a job under a key whose value cannot be parsed", async (t) => {
  const simulation = await createPool();
  const [entry] = simulation.entries;
  const definition = { payload: "", steps: [createStep()], schedule: undefined };
  write(simulation, getJobKey(SOUND_JOB), "{");
  await simulation.clock.advance(1_000);
  const submit = (): Promise<SubmissionOutcome> | undefined =>
    entry && simulation.submit(entry, SOUND_JOB, definition, WORK_MS);
  t.is((await submit())?.kind, "refused");
  t.is((await submit())?.kind, "refused");
  simulation.storeModel.remove(
    getJobKey(SOUND_JOB),
    simulation.storeModel.read(getJobKey(SOUND_JOB))?.revision ?? 0,
  );
  await assertRuns(t, simulation, SOUND_JOB);
});
