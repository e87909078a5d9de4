/**
 * Tests of two processes of one agent at a time, as an operator has them who starts the second one
 * with other ports before the first one has ended, with the programs over loopback.
 */
import test from "ava";
import { waitUntil } from "../../standins/cluster/waitUntil.ts";
import { createPlatformFixture, type PlatformFixture } from "./PlatformFixture.ts";

const LIMIT_MS = 10_000;
const REPLACED = "Another process of the agent has registered";
const JOB = JSON.stringify({
  spec: "",
  steps: [{ task_count: 4, cpu: 500, mem_mb: 16, estimate_ms: 100 }],
});

async function submit({ call, waitForState }: PlatformFixture, path: string): Promise<void> {
  await call("POST", path, JOB);
  await waitForState(path, "completed");
}

// Guards against an agent process that calls its worker for as long as it lives, although the worker
// refuses it for the token of the process that has taken its place.
test.serial("PoolAgentProcess that another one has replaced leaves the worker to it", async (t) => {
  const fixture = await createPlatformFixture(t);
  const { log, model } = fixture;
  await submit(fixture, "/a/00000000000000a1");
  await fixture.startSecondAgent();
  await waitUntil("the first process says that it is replaced", LIMIT_MS, () =>
    Promise.resolve(log.format().includes(REPLACED)),
  );
  const refused = model.refusedCalls;
  await submit(fixture, "/a/00000000000000a2");
  await submit(fixture, "/a/00000000000000a3");
  await submit(fixture, "/a/00000000000000a4");
  t.is(model.refusedCalls, refused);
  t.false(log.format().includes("no longer the scheduler"));
});
