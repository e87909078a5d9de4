/**
 * Tests of the adapter to the users' worker over loopback.
 */
import test, { type ExecutionContext } from "ava";
import { PlatformWorker } from "../../platform/PlatformWorker.ts";
import { findFreeAddress } from "../../standins/support/freePorts.ts";
import { createReply, JsonServer } from "../../standins/support/JsonServer.ts";

const TIMEOUT_MS = 10_000;
/** Number of ends that a worker returns at a time. */
const MAX_ENDED_ROWS = 500;
const CALL = { worker: "i-1", fencingToken: 1, leaseUntilMs: undefined, ackedEnd: 0, waitMs: 0 };

/** Creates the adapter to a worker that lists ended runs. */
async function createWorker(t: ExecutionContext, endCount: number): Promise<PlatformWorker> {
  const address = await findFreeAddress();
  const ended = Array.from({ length: endCount }, (_, position) => {
    return [position + 1, `0000000000000001.0.0.${position}`, 1, "done", ""];
  });
  const server = new JsonServer(address, () => createReply({ clock_ms: 1, running: [], ended }));
  await server.start();
  const worker = new PlatformWorker(address, TIMEOUT_MS);
  t.teardown(async () => {
    await worker.close();
    await server.stop();
  });
  return worker;
}

// Guards against tasks that run again because their ends come after those of one response.
test("PlatformWorker says that ends may be missing from a response with as many as it can have", async (t) => {
  const counts = [0, MAX_ENDED_ROWS - 1, MAX_ENDED_ROWS];
  const lists = await Promise.all(
    counts.map(async (count) => (await createWorker(t, count)).sync(CALL)),
  );
  t.deepEqual(
    lists.map((result) => {
      const { ended, mayLackEnds } = result._unsafeUnwrap();
      return [ended.length, mayLackEnds];
    }),
    [
      [0, false],
      [MAX_ENDED_ROWS - 1, false],
      [MAX_ENDED_ROWS, true],
    ],
  );
});

const TASK = "0000000000000001.0.0.0";
const ODD_NUMBERS = [1e308, 2 ** 53, 2 ** 32, -1, 0.5, "1", null];
/** Lists that no worker can mean. */
const ODD_LISTS: readonly object[] = [
  ...ODD_NUMBERS.flatMap((value) => [
    { clock_ms: 1, running: [[TASK, value, "", 50]], ended: [] },
    { clock_ms: 1, running: [], ended: [[value, TASK, 1, "done", ""]] },
    { clock_ms: 1, running: [], ended: [[1, TASK, value, "done", ""]] },
  ]),
  ...[1e308, 2 ** 53, -1, "1", null].map((value) => ({ clock_ms: value, running: [], ended: [] })),
  ...[1e308, 2 ** 53, -1, 0.5, "1"].map((value) => {
    return { clock_ms: 1, born: value, running: [], ended: [] };
  }),
  { clock_ms: 1, running: [["", 1, "", 50]], ended: [] },
  { clock_ms: 1, running: [[TASK, 1, "", -1e308]], ended: [] },
  ...[{}, { clock_ms: 1, running: {}, ended: [] }, [], { running: [], ended: [] }],
];

// Guards against a number in a worker's lists that no message can carry: each report of the agent
// failed until the worker listed its runs without it.
test("PlatformWorker rejects lists with numbers that cannot be right, and reads the next ones", async (t) => {
  const address = await findFreeAddress();
  const sound = { clock_ms: 1, running: [[TASK, 1, "", 50, 1e308]], ended: [] };
  const replies = [...ODD_LISTS, sound];
  const server = new JsonServer(address, () => createReply(replies.shift() ?? sound));
  await server.start();
  const worker = new PlatformWorker(address, TIMEOUT_MS);
  t.teardown(async () => {
    await worker.close();
    await server.stop();
  });
  for (const lists of ODD_LISTS) {
    const read = await worker.sync(CALL);
    t.is(read.isErr() ? read.error.kind : "ok", "unknown", JSON.stringify(lists));
  }
  const read = (await worker.sync(CALL))._unsafeUnwrap();
  t.deepEqual(read.running, [{ task: TASK, run: 1, checkpoint: "", percent: 50, measure: 0 }]);
});
