/**
 * Tests of the catalog of jobs that an entry maintains from the store.
 */
import test from "ava";
import { formatJobKey } from "../../../src/state/pool/PoolKeys.ts";
import { JobCatalog } from "../../../src/state/pool/JobCatalog.ts";
import { formatProgress } from "../../../src/state/pool/progressValue.ts";
import type { JobRecord } from "../../../src/state/pool/records.ts";
import { createStep, POOL } from "../../support/poolFixtures.ts";

const RECORD: JobRecord = {
  queue: "queue-a",
  priority: 0,
  maxAttempts: 3,
  stretch: 2,
  latencyTargetMs: 500,
  acceptedAtMs: 0,
  payload: "",
  steps: [createStep()],
  schedule: undefined,
};

function createCatalog(): JobCatalog {
  const ignore = (): void => undefined;
  return new JobCatalog({ onAccepted: ignore, onCancelled: ignore, onUnreadable: ignore });
}

function createJobEntry(job: string, revision: number) {
  const key = formatJobKey({ kind: "job", pool: POOL, job });
  return { key, value: JSON.stringify(RECORD), revision };
}

// Guards against a job that was removed while the entry missed changes and that its next scheduler
// would run again.
test("JobCatalog drops the jobs that a later listing does not contain", (t) => {
  const catalog = createCatalog();
  catalog.apply([createJobEntry("a", 5), createJobEntry("b", 6)]);
  catalog.applyIntakeListing([createJobEntry("b", 6)], 10);
  t.deepEqual(
    catalog.getJobs(POOL).map(({ id }) => id),
    ["b"],
  );
});

test("JobCatalog retains a job that was accepted after a listing was made", (t) => {
  const catalog = createCatalog();
  catalog.apply([createJobEntry("a", 11)]);
  catalog.applyIntakeListing([], 10);
  t.deepEqual(
    catalog.getJobs(POOL).map(({ id }) => id),
    ["a"],
  );
});

// Guards against entries that spend their processors on progress that is replaced a moment later.
test("JobCatalog reads only the last of the changes of a job's progress that arrive together", (t) => {
  const unreadable: string[] = [];
  const catalog = new JobCatalog({
    onAccepted: () => undefined,
    onCancelled: () => undefined,
    onUnreadable: (key) => unreadable.push(key),
  });
  const key = formatJobKey({ kind: "progress", pool: POOL, job: "a" });
  const last = formatProgress({ phase: "completed", tasks: {} });
  catalog.apply([
    createJobEntry("a", 5),
    { key, value: "not read", revision: 6 },
    { key, value: last, revision: 7 },
  ]);
  t.deepEqual(unreadable, []);
  t.is(catalog.getJob("a")?.phase, "completed");
  t.is(catalog.getJob("a")?.progressRevision, 7);
});

test("JobCatalog retains the latest progress of a job, whichever order it arrives in", (t) => {
  const catalog = createCatalog();
  catalog.apply([createJobEntry("a", 5)]);
  const key = formatJobKey({ kind: "progress", pool: POOL, job: "a" });
  const later = { phase: "completed", tasks: { "0.0.0": { run: 1, done: true } } } as const;
  catalog.updateProgress("a", later, 9);
  catalog.apply([{ key, value: JSON.stringify({ phase: "running", tasks: {} }), revision: 8 }]);
  const job = catalog.getJob("a");
  t.deepEqual(job?.progress, later);
  t.is(job?.progressRevision, 9);
  t.is(job?.phase, "completed");
});

function createProgressEntry(job: string, value: string, revision: number) {
  return { key: formatJobKey({ kind: "progress", pool: POOL, job }), value, revision };
}

// Guards against writes of progress that conflict for ever, since the revision of a value that
// cannot be parsed is not known.
test("JobCatalog marks a job whose progress cannot be parsed, until it can be again", (t) => {
  const catalog = createCatalog();
  const running = JSON.stringify({ phase: "running", tasks: {} });
  catalog.apply([createJobEntry("a", 5), createProgressEntry("a", running, 6)]);
  t.false(catalog.getJob("a")?.isProgressUnreadable);
  catalog.apply([createProgressEntry("a", "foreign", 7)]);
  t.true(catalog.getJob("a")?.isProgressUnreadable);
  t.is(catalog.getJob("a")?.progressRevision, 7);
  t.is(catalog.getJob("a")?.phase, "running");
  catalog.apply([createProgressEntry("a", running, 8)]);
  t.false(catalog.getJob("a")?.isProgressUnreadable);
  t.is(catalog.getJob("a")?.progressRevision, 8);
});

// Guards against a wrong revision of progress that stays, since only later ones are taken.
test("JobCatalog takes the revisions of a listing of progress that is not older than its own", (t) => {
  const catalog = createCatalog();
  const running = { phase: "running", tasks: {} } as const;
  catalog.apply(["a", "b", "c"].map((job) => createJobEntry(job, 1)));
  ["a", "b", "c"].forEach((job, position) => {
    catalog.updateProgress(job, running, 10 + position);
  });
  const entries = ["a", "b"].map((job) => createProgressEntry(job, JSON.stringify(running), 5));
  catalog.applyProgressListing(entries, 10);
  const getRevisions = (): readonly (number | undefined)[] =>
    ["a", "b", "c"].map((job) => catalog.getJob(job)?.progressRevision);
  t.deepEqual(getRevisions(), [5, 11, 12]);
  catalog.applyProgressListing(entries, 12);
  t.deepEqual(getRevisions(), [5, 5, 0]);
});
