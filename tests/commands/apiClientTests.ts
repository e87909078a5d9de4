/**
 * Tests of calls that are sent to several entries.
 */
import { once } from "node:events";
import { createServer, type RequestListener } from "node:http";
import type { AddressInfo } from "node:net";
import test, { type ExecutionContext } from "ava";
import { ApiClient } from "../../src/commands/ApiClient.ts";

const CHANGE = { method: "POST", path: "/v1/config/changes", body: { changeId: "c-1" } } as const;

async function startEntry(t: ExecutionContext, handle: RequestListener): Promise<string> {
  const server = createServer(handle);
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  return `127.0.0.1:${port}`;
}

async function startSilentEntry(t: ExecutionContext): Promise<string> {
  return startEntry(t, (req) => {
    req.resume().on("end", () => req.socket.destroy());
  });
}

async function startRespondingEntry(t: ExecutionContext, status: number): Promise<string> {
  return startEntry(t, (_, res) => {
    res.writeHead(status, { "content-type": "application/json" });
    res.end(JSON.stringify({ kind: "refused", detail: "the profile does not exist" }));
  });
}

// Guards against a refusal that is reported for a change which another entry may still make.
test("ApiClient takes the refusal of one entry for no outcome of a call to which another one did not respond", async (t) => {
  const silent = await startSilentEntry(t);
  const refusing = await startRespondingEntry(t, 422);
  const result = await new ApiClient([silent, refusing]).call(CHANGE);
  t.deepEqual(result._unsafeUnwrapErr(), {
    mayHaveActed: true,
    detail: "the profile does not exist",
  });
});

test("ApiClient returns the refusal of an entry if no other one may have executed the call", async (t) => {
  const unavailable = await startRespondingEntry(t, 503);
  const refusing = await startRespondingEntry(t, 422);
  const result = await new ApiClient([unavailable, refusing]).call(CHANGE);
  t.is(result._unsafeUnwrap().status, 422);
});

test("ApiClient returns the success of an entry after another one did not respond", async (t) => {
  const silent = await startSilentEntry(t);
  const accepting = await startRespondingEntry(t, 200);
  const result = await new ApiClient([silent, accepting]).call(CHANGE);
  t.is(result._unsafeUnwrap().status, 200);
});
