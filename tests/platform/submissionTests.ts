/**
 * Tests of parsing job definitions from the bodies of clients' requests.
 */
import test from "ava";
import { readSubmission } from "../../platform/submission.ts";

const STEP = { task_count: 1 };
const UNSAFE = 2 ** 53;

// Guards against numbers with which the scheduler cannot compute, such as a time beyond those that
// can be told apart, in a job that is accepted.
test("readSubmission rejects numbers that cannot be right and names their fields", (t) => {
  const numbers = [-1, UNSAFE, "1"];
  const ofJob = ["run_count", "first_run_ms", "interval_ms"].flatMap((field) =>
    numbers.map((value) => [field, { spec: "", steps: [STEP], [field]: value }] as const),
  );
  const ofStep = [
    ...["task_count", "cpu", "mem_mb", "gpu", "estimate_ms", "max_per_server", "target_ms"],
    "may_miss",
  ].flatMap((field) =>
    numbers.map(
      (value) => [`steps[0].${field}`, { spec: "", steps: [{ ...STEP, [field]: value }] }] as const,
    ),
  );
  [...ofJob, ...ofStep].forEach(([field, body]) => {
    const error = readSubmission(body).match(
      () => "accepted",
      (detail) => detail,
    );
    t.true(error.includes(`at ${field}`), `${JSON.stringify(body)}: ${error}`);
  });
});

test("readSubmission rejects memory whose bytes cannot be counted", (t) => {
  const error = readSubmission({ spec: "", steps: [{ ...STEP, mem_mb: 2 ** 34 }] });
  t.true(error._unsafeUnwrapErr().includes("at steps[0].mem_mb"));
});

test("readSubmission accepts a schedule and an estimate with a fraction", (t) => {
  const schedule = { run_count: 3, first_run_ms: 1_800_000_000_000, interval_ms: 500 };
  const body = { spec: "", steps: [{ ...STEP, estimate_ms: 900.5 }], ...schedule };
  t.deepEqual(readSubmission(body)._unsafeUnwrap().schedule, {
    runCount: 3,
    firstRunAtMs: 1_800_000_000_000,
    intervalMs: 500,
  });
});

// Guards against a submission within the size limit whose tasks do not fit into memory, or whose steps
// keep the scheduler busy for seconds: it would end each entry in turn.
test("readSubmission rejects more steps and tasks than a scheduler can hold", (t) => {
  const bodies = [
    { spec: "", steps: Array.from({ length: 5_000 }, () => STEP) },
    { spec: "", steps: Array.from({ length: 11 }, () => ({ task_count: 10_000 })) },
  ];
  bodies.forEach((body) => {
    const error = readSubmission(body).match(
      () => "accepted",
      (detail) => detail,
    );
    t.true(error.includes("steps"), error);
  });
  const steps = Array.from({ length: 10 }, () => ({ task_count: 10_000 }));
  t.true(readSubmission({ spec: "", steps }).isOk());
});

// Guards against a response of a megabyte to a request in which each element of a list is wrong.
test("readSubmission describes many errors at limited length", (t) => {
  const body = {
    spec: "",
    steps: [{ task_count: 1, after: Array.from({ length: 20_000 }, () => "x") }],
  };
  t.true(readSubmission(body)._unsafeUnwrapErr().length < 2_000);
});
