/**
 * Test of urgent tasks in a deployment that has just started, with profiles in effect.
 */
import { execFile } from "node:child_process";
import { join } from "node:path";
import { promisify } from "node:util";
import test from "ava";
import { Cluster } from "../../standins/cluster/Cluster.ts";
import { callJson } from "../../standins/cluster/httpJson.ts";
import { waitUntil } from "../../standins/cluster/waitUntil.ts";

/** Time within which urgent tasks must start. */
const URGENT_START_MS = 4_900;
const TIMEOUT_MS = 60_000;
const TASKS = 4;
const REPOSITORY = join(import.meta.dirname, "..", "..");

const run = promisify(execFile);

test.serial("urgent tasks start in time in a new deployment", async (t) => {
  const cluster = await Cluster.start({ entries: 1 });
  t.teardown(() => cluster.stop());
  const { api } = cluster.getEntry();
  const example = join(REPOSITORY, "examples", "collective.ini");
  const binary = join(REPOSITORY, "dist", "fireflylb");
  await run(binary, ["profile", "apply", example, "--wait", "--api", api]);
  const spec = {
    key: "urgent-1",
    tenant: "paper-surat",
    kind: "certificate",
    urgent: true,
    tasks: TASKS,
    resources: { processorsMilli: 500, memoryBytes: 1_000_000 },
    command: "run 500",
  };
  let acceptedAt = 0;
  await waitUntil("the job is accepted", TIMEOUT_MS, async () => {
    const { status } = await callJson("POST", `http://${api}/v1/jobs`, spec);
    acceptedAt = performance.now();
    return status === 201 || status === 200;
  });
  const getStarts = (): number =>
    cluster.readWorkerEvents().filter((event) => event.event === "start").length;
  await waitUntil("all tasks have started", TIMEOUT_MS, () =>
    Promise.resolve(getStarts() >= TASKS),
  );
  const elapsedMs = performance.now() - acceptedAt;
  t.log(`started within ${Math.round(elapsedMs)} ms`);
  t.true(elapsedMs < URGENT_START_MS);
});
