/**
 * Tests of the calls to agents in streams, over loopback.
 */
import { createClient } from "@connectrpc/connect";
import { createConnectTransport, Http2SessionManager } from "@connectrpc/connect-node";
import test, { type ExecutionContext } from "ava";
import type {
  AgentOutcome,
  AgentReport,
  ObserveCall,
  OrderCall,
  OrderReport,
} from "../../../src/coordination/pool/AgentChannel.ts";
import { NO_RESOURCES } from "../../../src/protocol/Resources.ts";
import { PoolAgent } from "../../../src/protocol/generated/fireflylb/v1/pool_pb.ts";
import { ControlServer } from "../../../src/transport/control/ControlServer.ts";
import { ConnectAgentChannel } from "../../../src/transport/pool/ConnectAgentChannel.ts";
import { PoolAgentService } from "../../../src/transport/pool/PoolAgentService.ts";
import { waitUntil } from "../../../standins/cluster/waitUntil.ts";
import { findFreeAddress } from "../../../standins/support/freePorts.ts";
import { MemoryLog } from "../../support/MemoryLog.ts";
import { createObserveCall } from "../../support/poolFixtures.ts";

const TIMEOUT_MS = 1_000;
const WAIT_LIMIT_MS = 5_000;

const OBSERVE = createObserveCall();

/** Agent that answers when the test says so. */
class ScriptedAgent {
  readonly observed: ObserveCall[] = [];
  readonly ordered: OrderCall[] = [];
  /** Ends the orders that get no answer before. */
  readonly ended = Promise.withResolvers<AgentOutcome<OrderReport>>();
  answerObserve: (call: ObserveCall) => Promise<AgentOutcome<AgentReport>> = (call) =>
    Promise.resolve(createReport(call.ackedEnd));
  answerOrder: () => Promise<AgentOutcome<OrderReport>> = () =>
    Promise.resolve({
      kind: "answered",
      value: { process: "p-1", callNumber: 7, starts: [], stops: [], paces: [] },
    });

  async observe(call: ObserveCall): Promise<AgentOutcome<AgentReport>> {
    this.observed.push(call);
    return await this.answerObserve(call);
  }

  async order(call: OrderCall): Promise<AgentOutcome<OrderReport>> {
    this.ordered.push(call);
    return await this.answerOrder();
  }
}

interface Fixture {
  readonly agent: ScriptedAgent;
  readonly service: PoolAgentService;
  readonly channel: ConnectAgentChannel;
  readonly address: string;
  readonly log: MemoryLog;
}

function createReport(version: number): AgentOutcome<AgentReport> {
  const value = { process: "p", version, worker: undefined, formerEnds: [], crashes: [] };
  return { kind: "answered", value };
}

function createOrder(worker: string): OrderCall {
  const lists = { starts: [], stops: [], paces: [] };
  return { epoch: 1, worker, leaseUntilMs: 0, capacity: NO_RESOURCES, ...lists };
}

async function createFixture(t: ExecutionContext): Promise<Fixture> {
  const address = await findFreeAddress();
  const agent = new ScriptedAgent();
  const log = new MemoryLog();
  const service = new PoolAgentService(agent, log);
  const server = new ControlServer((router) => {
    service.register(router);
  });
  (await server.listen(address, "[agent] control"))._unsafeUnwrap();
  const channel = new ConnectAgentChannel(TIMEOUT_MS);
  t.teardown(async () => {
    agent.ended.resolve({ kind: "deposed" });
    channel.close();
    await service.close();
    await server.close();
  });
  return { agent, service, channel, address, log };
}

function getVersion(outcome: AgentOutcome<AgentReport>): number | undefined {
  return outcome.kind === "answered" ? outcome.value.version : undefined;
}

test("ConnectAgentChannel passes each reply to its call, whatever the order of the replies", async (t) => {
  const { agent, channel, address } = await createFixture(t);
  const held = Promise.withResolvers<AgentOutcome<AgentReport>>();
  agent.answerObserve = (call) =>
    call.ackedEnd === 1 ? held.promise : Promise.resolve(createReport(call.ackedEnd));
  const first = channel.observe(address, { ...OBSERVE, ackedEnd: 1, waitMs: WAIT_LIMIT_MS });
  t.is(getVersion(await channel.observe(address, { ...OBSERVE, ackedEnd: 2 })), 2);
  t.like(await channel.order(address, createOrder("w")), { kind: "answered" });
  held.resolve(createReport(1));
  t.is(getVersion(await first), 1);
});

test("ConnectAgentChannel lets a call without a reply time out alone", async (t) => {
  const { agent, channel, address } = await createFixture(t);
  agent.answerOrder = () => agent.ended.promise;
  const order = channel.order(address, createOrder("w"));
  t.is(getVersion(await channel.observe(address, { ...OBSERVE, ackedEnd: 2 })), 2);
  t.like(await order, { kind: "unreachable", detail: "DeadlineExceeded: no reply in time" });
  t.is(getVersion(await channel.observe(address, { ...OBSERVE, ackedEnd: 3 })), 3);
});

test("ConnectAgentChannel tells that an agent has seen a later epoch", async (t) => {
  const { agent, channel, address } = await createFixture(t);
  agent.answerObserve = () => Promise.resolve({ kind: "deposed" });
  agent.answerOrder = () => Promise.resolve({ kind: "deposed" });
  t.deepEqual(await channel.observe(address, OBSERVE), { kind: "deposed" });
  t.deepEqual(await channel.order(address, createOrder("w")), { kind: "deposed" });
});

// Guards against a process that another one has replaced, and that a scheduler takes for a sign of a
// scheduler of a later epoch.
test("ConnectAgentChannel reports an agent's process that has been replaced as unreachable", async (t) => {
  const { agent, channel, address, log } = await createFixture(t);
  const replaced = { kind: "unreachable", detail: "replaced" } as const;
  agent.answerObserve = () => Promise.resolve(replaced);
  agent.answerOrder = () => Promise.resolve(replaced);
  const expected = { kind: "unreachable", detail: "Internal: replaced" };
  t.like(await channel.observe(address, OBSERVE), expected);
  t.like(await channel.order(address, createOrder("w")), expected);
  const baseUrl = `http://${address}`;
  const sessionManager = new Http2SessionManager(baseUrl);
  t.teardown(() => {
    sessionManager.abort();
  });
  const client = createClient(
    PoolAgent,
    createConnectTransport({ baseUrl, httpVersion: "2", sessionManager }),
  );
  await t.throwsAsync(client.observe({ epoch: 1n }), { message: /replaced/ });
  await t.throwsAsync(client.order({ epoch: 1n }), { message: /replaced/ });
  t.deepEqual(log.lines, []);
});

test("ConnectAgentChannel fails the calls in progress at a reset, and opens a new stream after it", async (t) => {
  const { agent, channel, address } = await createFixture(t);
  agent.answerOrder = () => agent.ended.promise;
  const order = channel.order(address, createOrder("w"));
  await waitUntil("the order has arrived", WAIT_LIMIT_MS, () =>
    Promise.resolve(agent.ordered.length > 0),
  );
  channel.reset(address);
  t.like(await order, { kind: "unreachable" });
  t.is(getVersion(await channel.observe(address, { ...OBSERVE, ackedEnd: 2 })), 2);
});

test("ConnectAgentChannel reports an agent that cannot be reached, and reaches it later", async (t) => {
  const address = await findFreeAddress();
  const channel = new ConnectAgentChannel(TIMEOUT_MS);
  t.like(await channel.observe(address, OBSERVE), { kind: "unreachable" });
  const service = new PoolAgentService(new ScriptedAgent(), new MemoryLog());
  const server = new ControlServer((router) => {
    service.register(router);
  });
  (await server.listen(address, "[agent] control"))._unsafeUnwrap();
  channel.reset(address);
  t.is(getVersion(await channel.observe(address, { ...OBSERVE, ackedEnd: 2 })), 2);
  channel.close();
  await service.close();
  await server.close();
});

// Guards against a pool that nobody can schedule while entries are upgraded before agents.
test("ConnectAgentChannel sends requests to an agent of a former version without streams", async (t) => {
  const address = await findFreeAddress();
  const server = new ControlServer((router) => {
    router.service(PoolAgent, {
      observe: () => ({ version: 3 }),
      order: () => ({ callNumber: 4 }),
    });
  });
  (await server.listen(address, "[agent] control"))._unsafeUnwrap();
  const channel = new ConnectAgentChannel(TIMEOUT_MS);
  t.is(getVersion(await channel.observe(address, OBSERVE)), 3);
  t.like(await channel.order(address, createOrder("w")), {
    kind: "answered",
    value: { callNumber: 4 },
  });
  t.is(getVersion(await channel.observe(address, OBSERVE)), 3);
  channel.close();
  await server.close();
});

test("PoolAgentService answers the calls in progress before it ends its streams", async (t) => {
  const { agent, service, channel, address } = await createFixture(t);
  const held = Promise.withResolvers<AgentOutcome<AgentReport>>();
  agent.answerObserve = () => held.promise;
  const observed = channel.observe(address, { ...OBSERVE, waitMs: WAIT_LIMIT_MS });
  await waitUntil("the call has arrived", WAIT_LIMIT_MS, () =>
    Promise.resolve(agent.observed.length > 0),
  );
  const closed = service.close();
  held.resolve(createReport(5));
  t.is(getVersion(await observed), 5);
  await closed;
});

test("PoolAgentService answers a call that fails with an error, and goes on with the stream", async (t) => {
  const { agent, channel, address, log } = await createFixture(t);
  agent.answerOrder = () => Promise.reject(new Error("broken order"));
  t.deepEqual(await channel.order(address, createOrder("w")), {
    kind: "unreachable",
    detail: "Internal: Error: broken order",
  });
  t.like(log.lines.at(-1), { level: "error", fields: { reason: "Error: broken order" } });
  t.is(getVersion(await channel.observe(address, { ...OBSERVE, ackedEnd: 2 })), 2);
});
