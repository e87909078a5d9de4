/**
 * Tests that distinguish requests that were never sent from those that may have arrived.
 */
import { once } from "node:events";
import { createServer } from "node:net";
import test from "ava";
import { request } from "undici";
import { findFreeAddress } from "../../../standins/support/freePorts.ts";
import { parseAddress } from "../../../standins/support/address.ts";
import { isUnsent } from "../../../src/transport/http/isUnsent.ts";

function createError(fields: Readonly<Record<string, string>>): Error {
  return Object.assign(new Error("failed"), fields);
}

test("isUnsent returns true for a refused connection", async (t) => {
  const address = await findFreeAddress();
  const cause = await t.throwsAsync(request(`http://${address}`));
  t.true(isUnsent(cause));
});

test("isUnsent returns false for a connection that was reset after the request", async (t) => {
  const address = await findFreeAddress();
  const server = createServer((socket) => {
    socket.once("data", () => socket.resetAndDestroy());
  });
  server.listen(parseAddress(address));
  await once(server, "listening");
  t.teardown(() => {
    server.close();
  });
  const cause = await t.throwsAsync(request(`http://${address}`));
  t.false(isUnsent(cause));
});

test("isUnsent distinguishes network errors by system call, not by code alone", (t) => {
  t.true(isUnsent(createError({ code: "EHOSTUNREACH", syscall: "connect" })));
  t.false(isUnsent(createError({ code: "EHOSTUNREACH", syscall: "read" })));
  t.false(isUnsent(createError({ code: "ENETUNREACH", syscall: "write" })));
  t.true(isUnsent(createError({ code: "UND_ERR_CONNECT_TIMEOUT" })));
  t.false(isUnsent(createError({ code: "UND_ERR_SOCKET" })));
  t.false(isUnsent("failed"));
});

test("isUnsent returns true only if connecting failed for every address of a host", (t) => {
  const refused = createError({ code: "ECONNREFUSED", syscall: "connect" });
  const reset = createError({ code: "ECONNRESET", syscall: "read" });
  t.true(isUnsent(new AggregateError([refused, refused])));
  t.false(isUnsent(new AggregateError([refused, reset])));
  t.false(isUnsent(new AggregateError([])));
});
