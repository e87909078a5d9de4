/**
 * Tests of the worker adapter against the worker stand-in over loopback.
 */
import test from "ava";
import type { ExecutionContext } from "ava";
import { request } from "undici";
import { findFreeAddress } from "../../../standins/support/freePorts.ts";
import { MachineClock } from "../../../standins/support/MachineClock.ts";
import { WorkerProcess } from "../../../standins/worker/WorkerProcess.ts";
import type {
  WorkerFailure,
  WorkerLease,
  WorkerStart,
} from "../../../src/protocol/platform/Worker.ts";
import { HttpWorker } from "../../../src/transport/worker/HttpWorker.ts";

const TIMEOUT_MS = 1_000;

const LEASE: WorkerLease = { untilMs: Number.MAX_SAFE_INTEGER, maxDurationMs: 60_000 };
const START: WorkerStart = {
  task: "t",
  attempt: 1,
  partition: 3,
  epoch: 7,
  ownerAddress: "127.0.0.1:1",
  resources: { processorsMilli: 1_000, memoryBytes: 1_000, accelerators: 0 },
  command: "run 60000",
  checkpoint: "",
  lease: LEASE,
  kind: "transcode",
  tenant: "academy",
};

interface WorkerFixture {
  readonly worker: HttpWorker;
  readonly process: WorkerProcess;
  readonly setSwitches: (switches: Readonly<Record<string, unknown>>) => Promise<void>;
}

async function createFixture(t: ExecutionContext): Promise<WorkerFixture> {
  const listen = await findFreeAddress();
  const process = new WorkerProcess(new MachineClock(), {
    listen,
    vm: "vm1",
    capacity: { processorsMilli: 4_000, memoryBytes: 4_000, accelerators: 2 },
    usageLagMs: 0,
    journal: undefined,
    onCrash: () => undefined,
  });
  await process.start();
  const worker = new HttpWorker({ address: listen, timeoutMs: TIMEOUT_MS });
  t.teardown(async () => {
    await worker.close();
    await process.stop();
  });
  return {
    worker,
    process,
    setSwitches: async (switches) => {
      const { statusCode, body } = await request(`http://${listen}/control/switches`, {
        method: "PUT",
        body: JSON.stringify(switches),
      });
      t.is(statusCode, 200, await body.text());
    },
  };
}

function summary(failure: WorkerFailure): readonly [string, boolean] {
  return [failure.kind, failure.mayHaveActed];
}

test("HttpWorker starts, renews, throttles, checkpoints, stops and forgets a task", async (t) => {
  const { worker } = await createFixture(t);
  t.true((await worker.start(START)).isOk());
  t.true((await worker.renew("t", 1, LEASE)).isOk());
  t.true((await worker.throttle("t", 1, 50)).isOk());
  const checkpoint = (await worker.checkpoint("t", 1))._unsafeUnwrap();
  t.true(checkpoint.startsWith("t@"));
  const report = (await worker.report())._unsafeUnwrap();
  t.like(report, { vm: "vm1", heatLevel: undefined });
  t.like(report.tasks[0], { task: "t", phase: "running", throttlePercent: 50, checkpoint });
  const stopped = (await worker.stop("t", 1))._unsafeUnwrap();
  t.like(stopped, { phase: "stopped", checkpoint });
  t.true((await worker.forget("t", 1)).isOk());
  t.is((await worker.stop("t", 1))._unsafeUnwrap(), undefined);
});

test("HttpWorker reports the heat level if the worker has one", async (t) => {
  const { worker, setSwitches } = await createFixture(t);
  await setSwitches({ heatLevel: 2 });
  t.is((await worker.report())._unsafeUnwrap().heatLevel, 2);
  await setSwitches({ heatLevel: null });
  t.is((await worker.report())._unsafeUnwrap().heatLevel, undefined);
});

test("HttpWorker distinguishes refusals from unknown tasks, and reports that neither acted", async (t) => {
  const { worker } = await createFixture(t);
  await worker.start(START);
  t.deepEqual(summary((await worker.start(START))._unsafeUnwrapErr()), ["refused", false]);
  t.deepEqual(summary((await worker.renew("u", 1, LEASE))._unsafeUnwrapErr()), [
    "unknown-task",
    false,
  ]);
});

test("HttpWorker reports that a call without a response may have acted", async (t) => {
  const { worker, setSwitches } = await createFixture(t);
  await setSwitches({ lostAnswers: 1 });
  t.deepEqual(summary((await worker.start(START))._unsafeUnwrapErr()), ["unavailable", true]);
  t.is((await worker.report())._unsafeUnwrap().tasks.length, 1);
  await setSwitches({ outage: "hang" });
  t.deepEqual(summary((await worker.renew("t", 1, LEASE))._unsafeUnwrapErr()), [
    "unavailable",
    true,
  ]);
});

test("HttpWorker reports that a call did not act if its connection was refused", async (t) => {
  const { worker, process } = await createFixture(t);
  await process.stop();
  t.deepEqual(summary((await worker.start(START))._unsafeUnwrapErr()), ["unavailable", false]);
});
