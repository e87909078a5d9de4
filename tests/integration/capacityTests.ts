/**
 * Tests of capacity and leases in agent processes while entries compete for capacity and agents are
 * killed, paused and drained, checked against the journals of the workers.
 */
import test, { type ExecutionContext } from "ava";
import { z } from "zod";
import { Cluster } from "../../standins/cluster/Cluster.ts";
import type { ClusterOptions } from "../../standins/cluster/ClusterOptions.ts";
import { callJson } from "../../standins/cluster/httpJson.ts";
import { waitUntil } from "../../standins/cluster/waitUntil.ts";
import { findTaskViolations } from "../../standins/history/taskHistory.ts";
import { findDoubleRuns, getRuns, type TaskRun } from "../support/taskRuns.ts";

const TIMEOUT_MS = 60_000;
const TASK_LEASE_MS = 4_000;
/** Default lease, within which an agent restarts even on a busy machine. */
const DEFAULT_TASK_LEASE_MS = 15_000;
const OPTIONS: Partial<ClusterOptions> = {
  services: [],
  plainVms: 2,
  processorsMilli: 4_000,
  memoryBytes: 8_000_000_000,
};

async function startCluster(
  t: ExecutionContext,
  entries: number,
  taskLeaseMs = TASK_LEASE_MS,
): Promise<Cluster> {
  const batch = {
    partitions: 6,
    owner_lease_ms: 1_000,
    task_lease_ms: taskLeaseMs,
    takeover_horizon_ms: 4_000,
  };
  const cluster = await Cluster.start({ ...OPTIONS, entries, entrySettings: { batch } });
  t.teardown(async () => {
    if (!t.passed) {
      t.log(cluster.collectLogs());
    }
    await cluster.stop();
  });
  return cluster;
}

/** Submits a job with its key until a response confirms that it is accepted. */
async function submit(
  cluster: Cluster,
  job: { readonly key: string; readonly tasks: number; readonly command: string },
): Promise<string> {
  const entry = cluster.getEntry(Number(/\d+$/.exec(job.key)?.[0] ?? 0) % cluster.entries.length);
  const resources = { processorsMilli: 1_500, memoryBytes: 1_000_000_000 };
  const spec = { tenant: "academy", kind: "transcode", resources, ...job };
  let id = "";
  await waitUntil("the job is accepted", TIMEOUT_MS, async () => {
    const { status, body } = await callJson("POST", `http://${entry.api}/v1/jobs`, spec);
    id = status < 300 ? z.object({ id: z.string() }).parse(body).id : "";
    return id !== "";
  });
  return id;
}

async function waitForCompletion(cluster: Cluster, id: string): Promise<void> {
  await waitUntil(`job ${id} is completed`, TIMEOUT_MS, async () => {
    const { body } = await callJson("GET", `http://${cluster.getEntry().api}/v1/jobs/${id}`);
    return z.object({ state: z.string() }).parse(body).state === "completed";
  });
}

async function waitForRuns(cluster: Cluster, count: number): Promise<readonly TaskRun[]> {
  await waitUntil(`${count} runs have started`, TIMEOUT_MS, () =>
    Promise.resolve(getRuns(cluster.readWorkerEvents()).length >= count),
  );
  return getRuns(cluster.readWorkerEvents());
}

function assertCompletedOnce(
  t: ExecutionContext,
  cluster: Cluster,
  tasks: number,
): readonly TaskRun[] {
  const events = cluster.readWorkerEvents();
  const runs = getRuns(events);
  t.deepEqual(findTaskViolations(events), []);
  t.deepEqual(findDoubleRuns(runs), []);
  t.is(runs.filter((run) => run.phase === "completed").length, tasks);
  return runs;
}

test.serial("an agent is never overcommitted while entries compete for its capacity", async (t) => {
  const cluster = await startCluster(t, 3);
  const ids = await Promise.all(
    Array.from({ length: 12 }, (_, number) =>
      submit(cluster, { key: `race-${number}`, tasks: 4, command: "run 300" }),
    ),
  );
  await Promise.all(ids.map((id) => waitForCompletion(cluster, id)));
  const runs = assertCompletedOnce(t, cluster, 48);
  const overlaps = runs.filter((run) =>
    runs.some(
      (other) => other !== run && other.vm === run.vm && other.from < run.to && run.from < other.to,
    ),
  );
  t.true(overlaps.length > 0, "no VM ran two tasks at the same time, so there was no contention");
});

test.serial("an agent that is killed takes over its running tasks when it restarts", async (t) => {
  const cluster = await startCluster(t, 1, DEFAULT_TASK_LEASE_MS);
  const id = await submit(cluster, { key: "restart-0", tasks: 4, command: "run 8000" });
  await waitForRuns(cluster, 4);
  const { process } = cluster.getVm(0).agent;
  await process.kill();
  process.start();
  const second = await submit(cluster, { key: "second-0", tasks: 4, command: "run 500" });
  await waitForCompletion(cluster, id);
  await waitForCompletion(cluster, second);
  const runs = assertCompletedOnce(t, cluster, 8);
  t.is(runs.length, 8, "a task was restarted although it was still running on its worker");
});

test.serial(
  "an agent that restarts with a paused worker starts no task until it has read the worker's tasks",
  async (t) => {
    const cluster = await startCluster(t, 1);
    const id = await submit(cluster, { key: "blind-0", tasks: 4, command: "run 2000" });
    await waitForRuns(cluster, 4);
    const { name, agent, worker } = cluster.getVm(0);
    await agent.process.kill();
    worker.process.pause();
    agent.process.start();
    const second = await submit(cluster, { key: "second-0", tasks: 4, command: "run 500" });
    await waitUntil("the agent reports that it is draining", TIMEOUT_MS, async () => {
      const { body } = await callJson("GET", `http://${cluster.getEntry().api}/v1/status`);
      const vms = z.object({
        vms: z.array(z.object({ agent: z.string(), draining: z.boolean() })),
      });
      return vms.parse(body).vms.some((vm) => vm.agent === name && vm.draining);
    });
    worker.process.resume();
    await waitForCompletion(cluster, id);
    await waitForCompletion(cluster, second);
    t.deepEqual(findTaskViolations(cluster.readWorkerEvents()), []);
  },
);

test.serial(
  "an agent that is killed while entries compete for its capacity is not overcommitted",
  async (t) => {
    const cluster = await startCluster(t, 3, DEFAULT_TASK_LEASE_MS);
    const ids = await Promise.all(
      Array.from({ length: 9 }, (_, number) =>
        submit(cluster, { key: `kill-${number}`, tasks: 4, command: "run 700" }),
      ),
    );
    await waitForRuns(cluster, 6);
    const [first, second] = cluster.vms;
    await first?.agent.process.kill();
    first?.agent.process.start();
    await waitForRuns(cluster, 10);
    await second?.agent.process.kill();
    second?.agent.process.start();
    await Promise.all(ids.map((id) => waitForCompletion(cluster, id)));
    assertCompletedOnce(t, cluster, 36);
  },
);

test.serial(
  "an agent that is paused past its leases neither stops nor starts a task late",
  async (t) => {
    const cluster = await startCluster(t, 1);
    // The work takes longer than a lease, so that no task can end unnoticed while
    // its agent is paused.
    const id = await submit(cluster, { key: "freeze-0", tasks: 4, command: "run 6000" });
    const before = await waitForRuns(cluster, 4);
    const { name, agent } = cluster.getVm(0);
    agent.process.pause();
    const affectedRuns = before.filter((run) => run.vm === name).length;
    t.true(affectedRuns > 0);
    await waitForRuns(cluster, 4 + affectedRuns);
    agent.process.resume();
    await waitForCompletion(cluster, id);
    assertCompletedOnce(t, cluster, 4);
  },
);

test.serial(
  "a draining agent stops its tasks with checkpoints, and they resume on another VM",
  async (t) => {
    const cluster = await startCluster(t, 1);
    const id = await submit(cluster, { key: "drain-0", tasks: 2, command: "run 4000" });
    await waitForRuns(cluster, 2);
    const runsOn = getRuns(cluster.readWorkerEvents())[0]?.vm;
    const vm = cluster.vms.find((candidate) => candidate.name === runsOn);
    await vm?.agent.process.stop();
    await waitForCompletion(cluster, id);
    const runs = assertCompletedOnce(t, cluster, 2);
    const resumed = runs.filter((run) => run.attempt > 1);
    t.true(resumed.length > 0);
    t.true(resumed.every((run) => run.workFromMs > 0));
  },
);
