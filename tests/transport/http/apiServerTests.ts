/**
 * Tests of the operators' HTTP interface, over loopback.
 */
import { connect } from "node:net";
import { text } from "node:stream/consumers";
import test, { type ExecutionContext } from "ava";
import type { ApiRoute } from "../../../src/transport/http/ApiRoute.ts";
import { ApiServer } from "../../../src/transport/http/ApiServer.ts";
import { PinoLog } from "../../../src/transport/log/PinoLog.ts";

interface JsonReply {
  readonly status: number;
  readonly body: {
    readonly code?: string;
    readonly detail?: string;
    readonly [key: string]: unknown;
  };
}

const ECHO: ApiRoute = {
  method: "POST",
  path: "/v1/things/:id",
  handle: ({ params, query, body }) =>
    Promise.resolve({ status: 200, body: { params, query, body } }),
};
const FAILING: ApiRoute = {
  method: "GET",
  path: "/v1/failing",
  handle: () => Promise.reject(new Error("broken inside")),
};

function createServer(routes: readonly ApiRoute[], unready: readonly string[] = []): ApiServer {
  return new ApiServer({
    setting: "[entry] api",
    routes,
    renderMetrics: () => Promise.resolve("up 1\n"),
    getUnreadyReasons: () => unready,
    log: PinoLog.create("error", "test", { write: () => undefined }),
    maxBodyBytes: 100,
    maxHeaderBytes: 2000,
  });
}

async function start(
  t: ExecutionContext,
  routes: readonly ApiRoute[] = [ECHO, FAILING],
  unready: readonly string[] = [],
): Promise<string> {
  const server = createServer(routes, unready);
  const address = (await server.listen("127.0.0.1:0"))._unsafeUnwrap();
  t.teardown(() => server.close(100));
  return address;
}

async function call(url: string, init?: RequestInit): Promise<JsonReply> {
  const res = await fetch(url, init);
  return { status: res.status, body: (await res.json()) as JsonReply["body"] };
}

async function sendRaw(address: string, request: string): Promise<string> {
  const [host, port] = address.split(":");
  const socket = connect(Number(port), host);
  socket.write(request);
  return text(socket);
}

test("ApiServer serves routes with path, query and body", async (t) => {
  const address = await start(t);
  const init = { method: "POST", body: '{"a":1}' };
  const response = await call(`http://${address}/v1/things/x%2Fy?n=2`, init);
  t.deepEqual(response, {
    status: 200,
    body: { params: { id: "x/y" }, query: { n: "2" }, body: { a: 1 } },
  });
});

test("ApiServer refuses invalid requests with stable codes", async (t) => {
  const address = await start(t);
  const thing = `http://${address}/v1/things/x`;
  const responses = await Promise.all([
    call(`http://${address}/nowhere`),
    call(thing),
    call(thing, { method: "POST", body: "{" }),
    call(thing, { method: "POST", body: "1".repeat(101) }),
    call(`http://${address}/v1/failing`),
    call(`http://${address}/v1/things/%E0%A4%A`, { method: "POST" }),
  ]);
  t.deepEqual(
    responses.map(({ status, body }) => [status, body.code]),
    [
      [404, "not-found"],
      [405, "method-not-allowed"],
      [400, "bad-request"],
      [413, "body-too-large"],
      [500, "internal-error"],
      [404, "not-found"],
    ],
  );
  t.notRegex(responses[4].body.detail ?? "", /broken inside/);
});

test("ApiServer refuses an oversized body without a declared length", async (t) => {
  const address = await start(t);
  const chunk = `64\r\n${"1".repeat(100)}\r\n`;
  const request = `POST /v1/things/x HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n`;
  const response = await sendRaw(address, `${request}${chunk}${chunk}0\r\n\r\n`);
  t.regex(response, /^HTTP\/1\.1 413 .*"code":"body-too-large"/s);
});

test("ApiServer rejects malformed HTTP and oversized headers and continues to serve", async (t) => {
  const address = await start(t);
  const broken = await sendRaw(address, "NONSENSE\r\n\r\n");
  t.regex(broken, /^HTTP\/1\.1 400 .*"code":"bad-request"/s);
  const request = `GET / HTTP/1.1\r\nhost: a\r\nx: ${"1".repeat(3000)}\r\n\r\n`;
  t.regex(await sendRaw(address, request), /^HTTP\/1\.1 431 .*"code":"header-too-large"/s);
  const odd = await sendRaw(address, "GET // HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
  t.regex(odd, /^HTTP\/1\.1 404 .*"code":"not-found"/s);
  t.is((await call(`http://${address}/health/live`)).status, 200);
});

test("ApiServer reports health, metrics and log level", async (t) => {
  const address = await start(t, [], ["no configuration yet"]);
  const ready = await call(`http://${address}/health/ready`);
  t.deepEqual(ready, { status: 503, body: { ready: false, reasons: ["no configuration yet"] } });
  t.is(await (await fetch(`http://${address}/metrics`)).text(), "up 1\n");
  const put = (body: string): Promise<JsonReply> =>
    call(`http://${address}/v1/log-level`, { method: "PUT", body });
  t.is((await put('{"level":"loud"}')).body.code, "bad-request");
  t.is((await put('{"level":"debug"}')).status, 200);
  t.is((await call(`http://${address}/v1/log-level`)).body.level, "debug");
});

test("ApiServer names the setting if its address is in use", async (t) => {
  const address = await start(t);
  const err = (await createServer([]).listen(address))._unsafeUnwrapErr();
  t.is(err.code, "cannot-listen");
  t.regex(err.message, /\[entry\] api = 127\.0\.0\.1:\d+: cannot listen: .*EADDRINUSE/);
});

test("ApiServer completes requests in flight before it closes", async (t) => {
  const entered = Promise.withResolvers<undefined>();
  const release = Promise.withResolvers<undefined>();
  const slow: ApiRoute = {
    method: "GET",
    path: "/slow",
    handle: async () => {
      entered.resolve(undefined);
      await release.promise;
      return { status: 200, body: { done: true } };
    },
  };
  const server = createServer([slow]);
  const address = (await server.listen("127.0.0.1:0"))._unsafeUnwrap();
  const reply = call(`http://${address}/slow`);
  await entered.promise;
  const closed = server.close(60_000);
  await t.throwsAsync(fetch(`http://${address}/health/live`));
  release.resolve(undefined);
  t.deepEqual(await reply, { status: 200, body: { done: true } });
  await closed;
});

// Guards against a route that throws before it returns a promise, which ended the process.
test("ApiServer answers a request whose route throws at once, and those after it", async (t) => {
  const throwing: ApiRoute = {
    method: "GET",
    path: "/v1/throwing",
    handle: () => {
      throw new Error("broken inside");
    },
  };
  const address = await start(t, [throwing, ECHO]);
  const failed = await call(`http://${address}/v1/throwing`);
  t.is(failed.status, 500);
  t.is(failed.body.code, "internal-error");
  t.is((await call(`http://${address}/v1/things/1`, { method: "POST" })).status, 200);
});
