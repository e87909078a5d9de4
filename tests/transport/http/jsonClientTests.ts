/**
 * Tests of the timeout of calls with JSON over HTTP, against a server that sends its response bit by
 * bit or goes silent.
 */
import type { ServerResponse } from "node:http";
import { setImmediate as runImmediate, setTimeout as sleep } from "node:timers/promises";
import test, { type ExecutionContext } from "ava";
import type { JsonClient } from "../../../src/transport/http/JsonClient.ts";
import { createServedClient, fail } from "./jsonCalls.ts";

const TIMEOUT_MS = 400;
const CHUNK_INTERVAL_MS = 20;
const CHUNKS = 40;
/** A chunk is white space, which JSON allows between any two tokens. */
const CHUNK = " ".repeat(1_000);
/** Deviation of a timer from the time that passes, in milliseconds. */
const TIMER_TOLERANCE_MS = 10;

type Responder = (res: ServerResponse) => Promise<void>;

function createClient(t: ExecutionContext, respond: Responder): Promise<JsonClient> {
  return createServedClient(t, TIMEOUT_MS, (_req, res) => void respond(res));
}

async function sendChunks(res: ServerResponse, chunks: number): Promise<void> {
  for (let sent = 0; sent < chunks; sent += 1) {
    res.write(CHUNK);
    await sleep(CHUNK_INTERVAL_MS);
  }
}

const CALL = { method: "GET", path: "/", body: undefined, timeoutMs: TIMEOUT_MS } as const;

// Guards against a timeout on the whole transfer, by which a large response on a narrow link failed
// however often it was asked for.
test("JsonClient receives a body that takes longer than the timeout but keeps flowing", async (t) => {
  const client = await createClient(t, async (res) => {
    await sendChunks(res, CHUNKS);
    res.end('{"last":1}');
  });
  const startedAt = performance.now();
  const response = await client.call(CALL);
  t.deepEqual(response._unsafeUnwrap(), { status: 200, body: { last: 1 } });
  t.true(performance.now() - startedAt > TIMEOUT_MS);
});

// Guards against a timeout that the headers of a response do not extend.
test("JsonClient counts the headers of a response as progress", async (t) => {
  const timeoutMs = 1_000;
  const pauseMs = 600;
  const client = await createClient(t, async (res) => {
    await sleep(pauseMs);
    res.flushHeaders();
    await sleep(pauseMs);
    res.end("{}");
  });
  const response = await client.call({ ...CALL, timeoutMs });
  t.deepEqual(response._unsafeUnwrap(), { status: 200, body: {} });
});

// Guards against a call that waits for ever on a server that stops in the middle of a body.
test("JsonClient fails in time if the server goes silent in the middle of the body", async (t) => {
  const sent = CHUNKS / 2;
  let lastByteAt = Number.NaN;
  const client = await createClient(t, async (res) => {
    await sendChunks(res, sent - 1);
    lastByteAt = performance.now();
    res.write(CHUNK);
  });
  const { kind, mayHaveArrived, detail, failedAt } = await fail(client, CALL);
  t.deepEqual([kind, mayHaveArrived], ["timeout", true]);
  t.is(detail, `no response in time after ${sent * CHUNK.length} bytes of it`);
  t.true(failedAt - lastByteAt >= TIMEOUT_MS - TIMER_TOLERANCE_MS);
});

// Guards against a call that waits for ever on a server that sends headers and nothing else.
test("JsonClient fails in time if the server goes silent after the headers", async (t) => {
  const client = await createClient(t, (res) => {
    res.flushHeaders();
    return Promise.resolve();
  });
  const { kind, detail } = await fail(client, CALL);
  t.deepEqual([kind, detail], ["timeout", "no response in time"]);
});

// Guards against a call that waits for ever on a server that never begins its response.
test("JsonClient fails in time if the server never responds", async (t) => {
  const client = await createClient(t, () => Promise.resolve());
  const { kind, mayHaveArrived, detail } = await fail(client, CALL);
  t.deepEqual([kind, mayHaveArrived, detail], ["timeout", true, "no response in time"]);
});

// Guards against taking a stall of this process for the silence of the server. The stall is where the
// event loop runs timers next and reads from connections only after them.
test.serial(
  "JsonClient counts bytes that arrived while this process was stalled as progress",
  async (t) => {
    const client = await createClient(t, async (res) => {
      await sendChunks(res, 1);
      await runImmediate();
      res.write(CHUNK);
      Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 2 * TIMEOUT_MS);
      await sleep(CHUNK_INTERVAL_MS);
      res.end("{}");
    });
    const response = await client.call(CALL);
    t.deepEqual(response._unsafeUnwrap(), { status: 200, body: {} });
  },
);
