/**
 * End-to-end tests of batch jobs with the built binary in separate processes.
 */
import test, { type ExecutionContext } from "ava";
import { z } from "zod";
import { Cluster } from "../../standins/cluster/Cluster.ts";
import type { ClusterOptions } from "../../standins/cluster/ClusterOptions.ts";
import { callJson } from "../../standins/cluster/httpJson.ts";
import { waitUntil } from "../../standins/cluster/waitUntil.ts";
import { findTaskViolations } from "../../standins/history/taskHistory.ts";

const JOB_TIMEOUT_MS = 60_000;

const Submitted = z.object({ id: z.string() });
const Job = z.object({ state: z.string(), tasks: z.record(z.string(), z.number()) });

const SHORT_LEASES = {
  batch: { owner_lease_ms: 1_000, task_lease_ms: 3_000, takeover_horizon_ms: 4_000 },
};

const SPEC = {
  key: "rebuild-1",
  tenant: "paper-surat",
  kind: "rebuild",
  tasks: 6,
  resources: { processorsMilli: 2_000, memoryBytes: 1_000_000_000 },
  command: "run 1000",
};

/** Starts a cluster; a test that fails shows the starts of its tasks and the logs of its processes. */
async function startCluster(
  t: ExecutionContext,
  options: Partial<ClusterOptions>,
): Promise<Cluster> {
  const cluster = await Cluster.start(options);
  t.teardown(async () => {
    if (!t.passed) {
      t.log(JSON.stringify(cluster.readWorkerEvents().filter(({ event }) => event !== "step")));
      t.log(cluster.collectLogs());
    }
    await cluster.stop();
  });
  return cluster;
}

/** Submits a job, and again with the same key after a refusal with status 503. */
async function submit(cluster: Cluster, spec: object): Promise<string> {
  const url = `http://${cluster.getEntry().api}/v1/jobs`;
  let accepted: unknown;
  await waitUntil("the job is accepted", JOB_TIMEOUT_MS, async () => {
    const { status, body } = await callJson("POST", url, spec);
    accepted = status === 200 || status === 201 ? body : undefined;
    if (accepted === undefined && status !== 503) {
      throw new Error(`job refused with status ${status}: ${JSON.stringify(body)}`);
    }
    return accepted !== undefined;
  });
  return Submitted.parse(accepted).id;
}

/** Submits a job, and after failures again with the same key, until it is accepted. */
async function submitUntilKnown(cluster: Cluster, spec: object): Promise<string> {
  let id = "";
  await waitUntil("the job is accepted", JOB_TIMEOUT_MS, async () => {
    id = await submit(cluster, spec);
    return true;
  });
  return id;
}

function countStarts(cluster: Cluster): number {
  return cluster.readWorkerEvents().filter((event) => event.event === "start").length;
}

function getBusyVms(cluster: Cluster): ReadonlySet<string> {
  const starts = cluster.readWorkerEvents().filter((event) => event.event === "start");
  return new Set(starts.map((event) => event.vm));
}

async function getJob(cluster: Cluster, id: string): Promise<z.infer<typeof Job>> {
  const { body } = await callJson("GET", `http://${cluster.getEntry().api}/v1/jobs/${id}`);
  return Job.parse(body);
}

async function waitForState(cluster: Cluster, id: string, state: string): Promise<void> {
  await waitUntil(`job ${id} is ${state}`, JOB_TIMEOUT_MS, async () => {
    const job = await getJob(cluster, id);
    return job.state === state;
  });
}

test.serial("a batch job runs every task once and is reported as completed", async (t) => {
  const cluster = await startCluster(t, { entries: 1 });
  const id = await submit(cluster, SPEC);
  t.is(
    await submit(cluster, SPEC),
    id,
    "a second submission with the same key created another job",
  );
  await waitForState(cluster, id, "completed");
  const job = await getJob(cluster, id);
  t.is(job.tasks.completed, SPEC.tasks);
  const events = cluster.readWorkerEvents();
  t.deepEqual(findTaskViolations(events), []);
  const completed = events.filter((event) => event.event === "end" && event.phase === "completed");
  t.is(completed.length, SPEC.tasks);
});

test.serial("a batch job survives the failure of a VM and of two of three entries", async (t) => {
  const cluster = await startCluster(t, {
    entries: 3,
    entrySettings: SHORT_LEASES,
  });
  const id = await submit(cluster, { ...SPEC, command: "run 4000" });
  await waitUntil("tasks run on both VMs", JOB_TIMEOUT_MS, () =>
    Promise.resolve(getBusyVms(cluster).size === 2),
  );
  const failing = cluster.getVm(0);
  await Promise.all([
    failing.worker.process.kill(),
    failing.agent.process.kill(),
    failing.server?.process.kill(),
    cluster.getEntry(1).process.kill(),
    cluster.getEntry(2).process.kill(),
  ]);
  await waitForState(cluster, id, "completed");
  t.is((await getJob(cluster, id)).tasks.completed, SPEC.tasks);
  t.deepEqual(findTaskViolations(cluster.readWorkerEvents()), []);
});

test.serial(
  "a batch job is neither lost nor duplicated while responses of the store are lost",
  async (t) => {
    const cluster = await startCluster(t, { entries: 2, entrySettings: SHORT_LEASES });
    await cluster.setStoreFaults({ lostAnswerShare: 0.1, seed: 20_261_203 });
    const ids = await Promise.all(
      [1, 2, 3, 4].map(async (index) =>
        submitUntilKnown(cluster, { ...SPEC, key: `rebuild-${index}` }),
      ),
    );
    t.is(new Set(ids).size, ids.length);
    await Promise.all(ids.map((id) => waitForState(cluster, id, "completed")));
    const jobs = await Promise.all(ids.map((id) => getJob(cluster, id)));
    t.true(jobs.every((job) => job.tasks.completed === SPEC.tasks));
    t.deepEqual(findTaskViolations(cluster.readWorkerEvents()), []);
  },
);

test.serial(
  "new jobs are refused promptly and running tasks continue during a store outage",
  async (t) => {
    const cluster = await startCluster(t, { entries: 1 });
    const id = await submit(cluster, { ...SPEC, command: "run 6000" });
    await waitUntil("all tasks run", JOB_TIMEOUT_MS, () =>
      Promise.resolve(countStarts(cluster) === SPEC.tasks),
    );
    await cluster.setStoreFaults({ outage: "hang" });
    const requestedAt = performance.now();
    const api = cluster.getEntry().api;
    const refused = await callJson("POST", `http://${api}/v1/jobs`, { ...SPEC, key: "late" });
    t.true(refused.status >= 500, JSON.stringify(refused));
    t.true(performance.now() - requestedAt < 10_000);
    await waitUntil("all tasks have ended", JOB_TIMEOUT_MS, () => {
      const ends = cluster.readWorkerEvents().filter((event) => event.event === "end");
      return Promise.resolve(ends.length === SPEC.tasks);
    });
    await cluster.setStoreFaults({ outage: "none" });
    await waitForState(cluster, id, "completed");
    t.is((await getJob(cluster, id)).tasks.completed, SPEC.tasks);
    t.is(countStarts(cluster), SPEC.tasks, "a task was restarted");
    t.deepEqual(findTaskViolations(cluster.readWorkerEvents()), []);
  },
);

test.serial(
  "an owner and a worker that were paused past their leases double no task",
  async (t) => {
    const cluster = await startCluster(t, { entries: 2, entrySettings: SHORT_LEASES });
    const id = await submit(cluster, { ...SPEC, command: "run 5000" });
    await waitUntil("tasks run on both VMs", JOB_TIMEOUT_MS, () =>
      Promise.resolve(getBusyVms(cluster).size === 2),
    );
    const paused = [
      cluster.getEntry(1).process,
      cluster.getVm(0).worker.process,
      cluster.getVm(0).agent.process,
    ];
    paused.forEach((process) => {
      process.pause();
    });
    await waitUntil("a task runs again on another VM", JOB_TIMEOUT_MS, () =>
      Promise.resolve(countStarts(cluster) > SPEC.tasks),
    );
    paused.forEach((process) => {
      process.resume();
    });
    await waitForState(cluster, id, "completed");
    t.is((await getJob(cluster, id)).tasks.completed, SPEC.tasks);
    t.deepEqual(findTaskViolations(cluster.readWorkerEvents()), []);
  },
);
