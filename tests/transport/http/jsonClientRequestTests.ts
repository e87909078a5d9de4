/**
 * Tests of sending large requests with JSON over HTTP, against a server that reads slowly or not at
 * all. They run one after the other and in a file of their own, since the creation of a large body
 * stalls the process.
 */
import { once } from "node:events";
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import test, { type ExecutionContext } from "ava";
import { JsonClient, type JsonCall } from "../../../src/transport/http/JsonClient.ts";
import { createServedClient, fail } from "./jsonCalls.ts";

/** Size of a large body, of which the kernel's buffers on loopback hold several MB, in bytes. */
const LARGE_BODY_BYTES = 33_554_432;
/**
 * Timeout of a call, in milliseconds. Where the kernel's buffers are full, they take nothing until
 * about a third of them is free, which is read in a fraction of this time.
 */
const TIMEOUT_MS = 1_000;
/** Time in which a slow server reads the first half of a large body, in milliseconds. */
const SLOW_HALF_MS = 2_500;
/** Time in which a server reads half of a large body before it stops reading, in milliseconds. */
const FAST_HALF_MS = 500;
/** Deviation of a timer from the time that passes, in milliseconds. */
const TIMER_TOLERANCE_MS = 10;

const LARGE_CALL: JsonCall = {
  method: "POST",
  path: "/",
  body: { value: "x".repeat(LARGE_BODY_BYTES) },
  timeoutMs: TIMEOUT_MS,
};

type Responder = (req: IncomingMessage, res: ServerResponse) => Promise<void>;

function createClient(t: ExecutionContext, respond: Responder): Promise<JsonClient> {
  return createServedClient(t, TIMEOUT_MS, (req, res) => {
    respond(req, res).catch(() => res.destroy());
  });
}

/**
 * Reads half of a large body steadily, and returns when its last byte was read.
 * @param req - The request.
 * @param durationMs - Time that reading the half takes, in milliseconds.
 */
async function readHalf(req: IncomingMessage, durationMs: number): Promise<number> {
  const startedAt = performance.now();
  const bytesPerMs = LARGE_BODY_BYTES / 2 / durationMs;
  let readBytes = 0;
  for await (const chunk of req.iterator({ destroyOnReturn: false })) {
    readBytes += (chunk as Buffer).length;
    await sleep(Math.max(0, startedAt + readBytes / bytesPerMs - performance.now()));
    if (readBytes >= LARGE_BODY_BYTES / 2) {
      break;
    }
  }
  return performance.now();
}

// Guards against a timeout on the whole request, by which a large write on a narrow link was aborted
// however often it was repeated.
test.serial(
  "JsonClient sends a body that takes longer than the timeout but keeps flowing",
  async (t) => {
    let readMs = 0;
    const client = await createClient(t, async (req, res) => {
      const startedAt = performance.now();
      readMs = (await readHalf(req, SLOW_HALF_MS)) - startedAt;
      req.resume();
      await once(req, "end");
      res.end("{}");
    });
    const response = await client.call(LARGE_CALL);
    t.deepEqual(response._unsafeUnwrap(), { status: 200, body: {} });
    t.true(readMs >= SLOW_HALF_MS - TIMER_TOLERANCE_MS);
  },
);

// Guards against a call that waits for ever on a server that stops reading in the middle of a body.
test.serial(
  "JsonClient fails in time if the server stops reading in the middle of the request",
  async (t) => {
    let lastReadAt = Number.POSITIVE_INFINITY;
    const client = await createClient(t, async (req) => {
      lastReadAt = await readHalf(req, FAST_HALF_MS);
    });
    const { kind, mayHaveArrived, detail, failedAt } = await fail(client, LARGE_CALL);
    t.deepEqual([kind, mayHaveArrived, detail], ["timeout", true, "no response in time"]);
    t.true(failedAt > lastReadAt);
  },
);

// Guards against a large body without its length, with a length that counts characters, or with a
// part missing.
test.serial(
  "JsonClient sends a large body with its length and without a transfer encoding",
  async (t) => {
    const body = { value: "\u00e9".repeat(LARGE_BODY_BYTES / 32) };
    const json = JSON.stringify(body);
    const client = await createClient(t, async (req, res) => {
      const chunks = (await req.toArray()) as readonly Buffer[];
      const { "content-length": length, "transfer-encoding": encoding = null } = req.headers;
      const isSame = Buffer.concat(chunks).toString("utf8") === json;
      res.end(JSON.stringify({ length, encoding, isSame }));
    });
    const response = await client.call({ ...LARGE_CALL, body });
    t.deepEqual(response._unsafeUnwrap().body, {
      length: String(Buffer.byteLength(json)),
      encoding: null,
      isSame: true,
    });
  },
);

// Guards against a failure to connect that is taken for one after which a large body may have arrived.
test.serial(
  "JsonClient reports that a large body on a refused connection did not arrive",
  async (t) => {
    const server = createServer();
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    server.close();
    await once(server, "close");
    const client = new JsonClient(`127.0.0.1:${port}`, TIMEOUT_MS);
    t.teardown(() => client.close());
    const { kind, mayHaveArrived } = await fail(client, LARGE_CALL);
    t.deepEqual([kind, mayHaveArrived], ["unavailable", false]);
  },
);
