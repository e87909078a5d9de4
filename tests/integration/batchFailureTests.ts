/**
 * Tests of batch jobs in separate processes under failures, checked against the workers' journals.
 */
import test, { type ExecutionContext } from "ava";
import { z } from "zod";
import { Cluster } from "../../standins/cluster/Cluster.ts";
import type { ClusterEntry } from "../../standins/cluster/ClusterEntry.ts";
import type { ClusterOptions } from "../../standins/cluster/ClusterOptions.ts";
import { callJson, type JsonResult } from "../../standins/cluster/httpJson.ts";
import { waitUntil } from "../../standins/cluster/waitUntil.ts";
import { findDoubleRuns, getRuns, type TaskRun } from "../support/taskRuns.ts";

const TIMEOUT_MS = 60_000;
const TASK_LEASE_MS = 3_000;
const URGENT_START_TARGET_MS = 4_900;
const LONG_TASK_LEASE_MS = 9_000;
const BATCH_SETTINGS = {
  partitions: 4,
  owner_lease_ms: 2_000,
  task_lease_ms: TASK_LEASE_MS,
  takeover_horizon_ms: 4_000,
};
const OPTIONS: Partial<ClusterOptions> = { services: [], plainVms: 3 };
const SPEC = {
  key: "transcode-1",
  tenant: "academy",
  kind: "transcode",
  tasks: 4,
  resources: { processorsMilli: 2_000, memoryBytes: 1_000_000_000 },
  command: "run 5000",
};

const Job = z.object({ state: z.string(), owner: z.string() });
const Refused = z.object({ code: z.string(), verdict: z.string() });

async function startCluster(
  t: ExecutionContext,
  entries: number,
  leaseMs = TASK_LEASE_MS,
): Promise<Cluster> {
  const batch = { ...BATCH_SETTINGS, task_lease_ms: leaseMs };
  const cluster = await Cluster.start({ ...OPTIONS, entries, entrySettings: { batch } });
  t.teardown(async () => {
    if (!t.passed) {
      t.log(cluster.collectLogs());
    }
    await cluster.stop();
  });
  return cluster;
}

async function send(cluster: Cluster, spec: object, entry = 0): Promise<JsonResult> {
  return callJson("POST", `http://${cluster.getEntry(entry).api}/v1/jobs`, spec);
}

/** Submits a job until a response confirms that it is accepted. */
async function submit(cluster: Cluster, spec: object, entry = 0): Promise<string> {
  let id = "";
  await waitUntil("the job is accepted", TIMEOUT_MS, async () => {
    const { status, body } = await send(cluster, spec, entry);
    id = status < 300 ? z.object({ id: z.string() }).parse(body).id : "";
    return id !== "";
  });
  return id;
}

async function getJob(cluster: Cluster, id: string, entry = 0): Promise<z.infer<typeof Job>> {
  const { body } = await callJson("GET", `http://${cluster.getEntry(entry).api}/v1/jobs/${id}`);
  return Job.parse(body);
}

async function waitForState(cluster: Cluster, id: string, state: string, entry = 0): Promise<void> {
  await waitUntil(`job ${id} is ${state}`, TIMEOUT_MS, async () => {
    return (await getJob(cluster, id, entry)).state === state;
  });
}

async function waitForRuns(cluster: Cluster, count: number): Promise<readonly TaskRun[]> {
  await waitUntil(`${count} runs have started`, TIMEOUT_MS, () =>
    Promise.resolve(getRuns(cluster.readWorkerEvents()).length >= count),
  );
  return getRuns(cluster.readWorkerEvents());
}

/** Finds the entry that owns the partition of a job. */
async function findOwner(cluster: Cluster, id: string): Promise<ClusterEntry> {
  const { owner } = await getJob(cluster, id);
  const found = cluster.entries.find((entry) => entry.name === owner);
  if (found === undefined) {
    throw new Error(`unknown entry ${owner}`);
  }
  return found;
}

function assertCompletedOnce(
  t: ExecutionContext,
  cluster: Cluster,
  tasks: number,
): readonly TaskRun[] {
  const runs = getRuns(cluster.readWorkerEvents());
  t.deepEqual(findDoubleRuns(runs), []);
  t.is(runs.filter((run) => run.phase === "completed").length, tasks);
  return runs;
}

test.serial("no task is lost or runs twice when the owner is killed", async (t) => {
  const cluster = await startCluster(t, 3);
  const id = await submit(cluster, SPEC);
  await waitForRuns(cluster, SPEC.tasks);
  const owner = await findOwner(cluster, id);
  await owner.process.kill();
  const other = cluster.entries.findIndex((entry) => entry !== owner);
  await waitForState(cluster, id, "completed", other);
  assertCompletedOnce(t, cluster, SPEC.tasks);
});

test.serial(
  "an owner that is paused past its lease is replaced and no task runs twice",
  async (t) => {
    const cluster = await startCluster(t, 2);
    const id = await submit(cluster, { ...SPEC, command: "run 12000" });
    await waitForRuns(cluster, SPEC.tasks);
    const owner = await findOwner(cluster, id);
    owner.process.pause();
    const other = cluster.entries.findIndex((entry) => entry !== owner);
    await waitUntil("the other entry owns the partition", TIMEOUT_MS, async () => {
      const job = await getJob(cluster, id, other);
      return job.owner !== owner.name && job.state === "running";
    });
    owner.process.resume();
    await waitForState(cluster, id, "completed", other);
    assertCompletedOnce(t, cluster, SPEC.tasks);
  },
);

test.serial("no task runs twice when an agent is paused past the lease of its tasks", async (t) => {
  const cluster = await startCluster(t, 1);
  const id = await submit(cluster, { ...SPEC, command: "run 6000" });
  const runs = await waitForRuns(cluster, SPEC.tasks);
  const paused = cluster.vms.find((vm) => runs.some((run) => run.vm === vm.name));
  paused?.agent.process.pause();
  const stopped = runs.filter((run) => run.vm === paused?.name);
  t.true(stopped.length > 0);
  await waitUntil("the tasks run on other VMs", TIMEOUT_MS, () => {
    const later = getRuns(cluster.readWorkerEvents()).filter((run) => run.attempt > 1);
    return Promise.resolve(later.length >= stopped.length);
  });
  paused?.agent.process.resume();
  await waitForState(cluster, id, "completed");
  assertCompletedOnce(t, cluster, SPEC.tasks);
});

test.serial("a new owner waits for the leases of unresponsive agents", async (t) => {
  const cluster = await startCluster(t, 2, LONG_TASK_LEASE_MS);
  // Each task fills a VM, so that an abandoned task can only restart on the free VM.
  const resources = { ...SPEC.resources, processorsMilli: 10_000 };
  const id = await submit(cluster, { ...SPEC, resources, tasks: 2, command: "run 30000" });
  const runs = await waitForRuns(cluster, 2);
  const paused = cluster.vms.filter((vm) => runs.some((run) => run.vm === vm.name));
  paused.forEach((vm) => {
    vm.agent.process.pause();
  });
  const owner = await findOwner(cluster, id);
  await owner.process.kill();
  await waitUntil("a task runs on another VM", TIMEOUT_MS, () => {
    const later = getRuns(cluster.readWorkerEvents()).filter((run) => run.attempt > 1);
    return Promise.resolve(later.length > 0);
  });
  paused.forEach((vm) => {
    vm.agent.process.resume();
  });
  const other = cluster.entries.findIndex((entry) => entry !== owner);
  const url = `http://${cluster.getEntry(other).api}/v1/jobs/${id}`;
  t.is((await callJson("DELETE", url)).status, 200);
  await waitForState(cluster, id, "cancelled", other);
  t.deepEqual(findDoubleRuns(getRuns(cluster.readWorkerEvents())), []);
});

test.serial(
  "jobs are refused promptly and running tasks continue during a store outage",
  async (t) => {
    const cluster = await startCluster(t, 1);
    const id = await submit(cluster, { ...SPEC, command: "run 2000" });
    await waitForRuns(cluster, SPEC.tasks);
    await cluster.setStoreFaults({ outage: "refuse" });
    const requestedAt = performance.now();
    const { status, body } = await send(cluster, { ...SPEC, key: "during the outage" });
    t.true(performance.now() - requestedAt < URGENT_START_TARGET_MS);
    t.is(status, 503);
    t.like(Refused.parse(body), { code: "store-unavailable", verdict: "not-run" });
    await waitUntil("the tasks complete during the outage", TIMEOUT_MS, () => {
      const ended = getRuns(cluster.readWorkerEvents()).filter((run) => run.phase === "completed");
      return Promise.resolve(ended.length === SPEC.tasks);
    });
    await cluster.setStoreFaults({ outage: "none" });
    await waitForState(cluster, id, "completed");
    assertCompletedOnce(t, cluster, SPEC.tasks);
  },
);

test.serial("no job or task is duplicated when responses of the store are lost", async (t) => {
  const cluster = await startCluster(t, 2);
  await cluster.setStoreFaults({ lostAnswerShare: 0.3, seed: 7 });
  const keys = ["a", "b", "c"];
  const jobs = keys.flatMap((key) => [0, 1].map((entry) => ({ key, entry })));
  const spec = { ...SPEC, command: "run 300", tasks: 3 };
  const ids = await Promise.all(
    jobs.map(({ key, entry }) => submit(cluster, { ...spec, key }, entry)),
  );
  t.is(new Set(ids).size, keys.length);
  for (const id of new Set(ids)) {
    await waitForState(cluster, id, "completed");
  }
  await cluster.setStoreFaults({ lostAnswerShare: 0 });
  assertCompletedOnce(t, cluster, keys.length * spec.tasks);
});

test.serial("an evicted task resumes once from its checkpoint", async (t) => {
  const cluster = await startCluster(t, 1);
  const id = await submit(cluster, { ...SPEC, tasks: 1, command: "run 3000" });
  await waitUntil("the task has done more than 500 ms of work", TIMEOUT_MS, () => {
    const [run] = getRuns(cluster.readWorkerEvents());
    return Promise.resolve((run?.workToMs ?? 0) > 500);
  });
  const url = `http://${cluster.getEntry().api}/v1/jobs/${id}/evict`;
  const { status } = await callJson("POST", url, { reason: "test" });
  t.is(status, 200);
  await waitForState(cluster, id, "completed");
  const [first, second, ...others] = assertCompletedOnce(t, cluster, 1);
  t.deepEqual(others, []);
  t.is(first?.phase, "stopped");
  t.true((second?.workFromMs ?? 0) > 500);
  const checkpoints = cluster.readWorkerEvents().filter((event) => event.event === "checkpoint");
  t.true(checkpoints.some((event) => event.workMs === second?.workFromMs));
});

test.serial("a wave of cancellations does not hold urgent work up", async (t) => {
  const cluster = await startCluster(t, 2);
  const keys = Array.from({ length: 300 }, (_, index) => `wave-${index}`);
  const spec = { ...SPEC, tasks: 2, command: "run 60000" };
  const ids = await Promise.all(keys.map((key) => submit(cluster, { ...spec, key })));
  await waitForRuns(cluster, 20);
  const cancelled = Promise.all(
    ids.map((id) => callJson("DELETE", `http://${cluster.getEntry().api}/v1/jobs/${id}`)),
  );
  const submittedAt = performance.now();
  const urgent = await submit(cluster, {
    ...SPEC,
    key: "urgent",
    urgent: true,
    command: "run 100",
  });
  await waitForState(cluster, urgent, "completed");
  t.log(`urgent job done after ${Math.round(performance.now() - submittedAt)} ms`);
  t.true(performance.now() - submittedAt < URGENT_START_TARGET_MS);
  t.true((await cancelled).every(({ status }) => status === 200));
  await waitUntil("the cancelled tasks have stopped", TIMEOUT_MS, () => {
    const running = getRuns(cluster.readWorkerEvents()).filter((run) => run.phase === "running");
    return Promise.resolve(running.length === 0);
  });
  t.deepEqual(findDoubleRuns(getRuns(cluster.readWorkerEvents())), []);
});
