/**
 * Tests of the fault-injecting proxy.
 */
import { once } from "node:events";
import { connect, createServer } from "node:net";
import type { Socket } from "node:net";
import test from "ava";
import type { ExecutionContext } from "ava";
import { FaultProxy } from "../../../standins/proxy/FaultProxy.ts";
import { parseAddress } from "../../../standins/support/address.ts";
import { findFreeAddresses } from "../../../standins/support/freePorts.ts";
import { MachineClock } from "../../../standins/support/MachineClock.ts";

interface Fixture {
  readonly proxy: FaultProxy;
  /** Connects a caller through the proxy and returns the sockets of both ends. */
  readonly connect: () => Promise<{ readonly caller: Socket; readonly target: Socket }>;
}

async function createFixture(t: ExecutionContext): Promise<Fixture> {
  const [listen = "", target = ""] = await findFreeAddresses(2);
  const accepted: ((socket: Socket) => void)[] = [];
  const server = createServer({ allowHalfOpen: true }, (socket) => {
    socket.on("error", () => undefined);
    accepted.shift()?.(socket);
  });
  server.listen(parseAddress(target));
  await once(server, "listening");
  const proxy = new FaultProxy(new MachineClock(), listen, target);
  await proxy.start();
  t.teardown(async () => {
    await proxy.stop();
    server.close();
  });
  return {
    proxy,
    connect: async () => {
      const reached = new Promise<Socket>((resolve) => accepted.push(resolve));
      const caller = connect({ ...parseAddress(listen), allowHalfOpen: true });
      caller.on("error", () => undefined);
      return { caller, target: await reached };
    },
  };
}

async function readBytes(socket: Socket, count: number): Promise<string> {
  let text = "";
  while (text.length < count) {
    const [bytes] = (await once(socket, "data")) as [Buffer];
    text += bytes.toString();
  }
  return text;
}

async function waitForClose(socket: Socket): Promise<void> {
  if (!socket.closed) {
    await new Promise<void>((resolve) =>
      socket.once("close", () => {
        resolve();
      }),
    );
  }
}

test("FaultProxy forwards bytes and half-closes in both directions", async (t) => {
  const { proxy, connect } = await createFixture(t);
  const { caller, target } = await connect();
  caller.end("hello");
  t.is(await readBytes(target, 5), "hello");
  target.end("answer");
  t.is(await readBytes(caller, 6), "answer");
  await Promise.all([waitForClose(caller), waitForClose(target)]);
  t.like(proxy.counts, { connections: 1, cut: 0, upBytes: 5, downBytes: 6 });
});

test("FaultProxy holds bytes back and forwards them in order when the fault is cleared", async (t) => {
  const { proxy, connect } = await createFixture(t);
  const { caller, target } = await connect();
  await proxy.setFaults({ hold: "up" });
  caller.write("late");
  target.write("down");
  t.is(await readBytes(caller, 4), "down");
  t.is(proxy.counts.upBytes, 0);
  caller.write("later");
  await proxy.clearFaults();
  t.is(await readBytes(target, 9), "latelater");
});

test("FaultProxy discards bytes of one direction", async (t) => {
  const { proxy, connect } = await createFixture(t);
  const { caller, target } = await connect();
  await proxy.setFaults({ drop: "down" });
  target.write("lost");
  caller.write("kept");
  t.is(await readBytes(target, 4), "kept");
  t.is(proxy.counts.downBytes, 0);
});

test("FaultProxy resets a connection between the request and the response", async (t) => {
  const { proxy, connect } = await createFixture(t);
  await proxy.setFaults({ cutAfterDownBytes: 0 });
  const { caller, target } = await connect();
  caller.write("request");
  t.is(await readBytes(target, 7), "request");
  target.write("answer");
  await Promise.all([waitForClose(caller), waitForClose(target)]);
  t.like(proxy.counts, { cut: 1, downBytes: 0 });
});

test("FaultProxy resets a connection after a number of bytes", async (t) => {
  const { proxy, connect } = await createFixture(t);
  await proxy.setFaults({ cutAfterUpBytes: 3 });
  const { caller, target } = await connect();
  caller.write("request");
  await Promise.all([waitForClose(caller), waitForClose(target)]);
  t.like(proxy.counts, { cut: 1, upBytes: 3 });
});

test("FaultProxy delays bytes", async (t) => {
  const { proxy, connect } = await createFixture(t);
  await proxy.setFaults({ delayUpMs: 100 });
  const { caller, target } = await connect();
  const sentAt = performance.now();
  caller.write("late");
  t.is(await readBytes(target, 4), "late");
  t.true(performance.now() - sentAt >= 99);
});

test("FaultProxy refuses new connections while open ones stay usable", async (t) => {
  const { proxy, connect: connectThrough } = await createFixture(t);
  const { caller, target } = await connectThrough();
  await proxy.setFaults({ newConnections: "refuse" });
  const refused = connect(parseAddress(proxy.address));
  const [err] = (await once(refused, "error").catch((cause: unknown) => [cause])) as [
    NodeJS.ErrnoException,
  ];
  t.is(err.code, "ECONNREFUSED");
  caller.write("open");
  t.is(await readBytes(target, 4), "open");
  await proxy.clearFaults();
  await connectThrough();
  proxy.cutAll();
  await waitForClose(caller);
  t.is(proxy.counts.cut, 2);
});
