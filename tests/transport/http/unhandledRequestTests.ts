/**
 * Tests of what becomes of a request whose handling fails by a fault of the program, at the servers
 * between callers and backend servers, over loopback.
 */
import test, { type ExecutionContext } from "ava";
import { request } from "undici";
import { AgentRequestServer } from "../../../src/transport/agent/requests/AgentRequestServer.ts";
import {
  EntryRequestServer,
  type EntryRequestServerDependencies,
} from "../../../src/transport/entry/requests/EntryRequestServer.ts";
import { RequestHeaders } from "../../../src/protocol/RequestHeaders.ts";
import { ManualClock } from "../../support/ManualClock.ts";
import { MemoryLog } from "../../support/MemoryLog.ts";

const ANY_PORT = "127.0.0.1:0";
const TIMEOUT_MS = 2_000;
const BUDGET_MS = 1_000;
const BROKEN = "broken inside";

/** Throws at the first call, and returns false from the second one on. */
function createFaulty(): () => boolean {
  let calls = 0;
  return () => {
    calls += 1;
    if (calls === 1) {
      throw new Error(BROKEN);
    }
    return false;
  };
}

/** Sends two requests, and asserts that each is answered and that the fault is logged. */
async function assertServes(
  t: ExecutionContext,
  { address, headers, log }: Server,
  codes: readonly [string, string],
): Promise<void> {
  const send = async () => {
    const signal = AbortSignal.timeout(TIMEOUT_MS);
    const res = await request(`http://${address}/path`, { headers, signal });
    const body = (await res.body.json()) as { readonly code: string; readonly verdict: string };
    t.is(res.headers[RequestHeaders.verdict], body.verdict);
    return body;
  };
  const first = await send();
  t.deepEqual([first.code, first.verdict], [codes[0], "may-have-run"]);
  t.true(log.format().includes(BROKEN), log.format());
  const second = await send();
  t.deepEqual([second.code, second.verdict], [codes[1], "not-run"]);
}

/** Creates the headers that an entry sets. */
function createHead(): Readonly<Record<string, string>> {
  return {
    [RequestHeaders.requestId]: "request-1",
    [RequestHeaders.service]: "rota-desk",
    [RequestHeaders.incarnation]: "agent-1",
    [RequestHeaders.sender]: "entry-1",
    [RequestHeaders.attempt]: "1",
    [RequestHeaders.budgetMs]: String(BUDGET_MS),
    [RequestHeaders.sentAt]: "0",
  };
}

interface Server {
  readonly address: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly log: MemoryLog;
}

// Guards against one request that ends the process with all others that it serves.
test("EntryRequestServer answers a request whose handling fails, and those after it", async (t) => {
  const log = new MemoryLog();
  const limits = {
    ...{ defaultTimeoutMs: BUDGET_MS, maxTimeoutMs: BUDGET_MS, maxBodyBytes: 100 },
    ...{ maxHeaderBytes: 2_000, maxInFlight: 10 },
  };
  const deps = { clock: new ManualClock(), log, limits, hasConfig: createFaulty() };
  const server = new EntryRequestServer({
    ...deps,
    onRefusal: () => undefined,
  } as unknown as EntryRequestServerDependencies);
  const address = (await server.listen(ANY_PORT))._unsafeUnwrap();
  t.teardown(() => server.close());
  const headers = { [RequestHeaders.service]: "rota-desk" };
  await assertServes(t, { address, headers, log }, ["internal-error", "no-configuration"]);
});

test("AgentRequestServer answers a request whose handling fails, and those after it", async (t) => {
  const log = new MemoryLog();
  const deps = { clock: new ManualClock(), log, maxBodyBytes: 100, isReady: createFaulty() };
  const server = new AgentRequestServer({
    ...deps,
    onFinished: () => undefined,
  } as unknown as ConstructorParameters<typeof AgentRequestServer>[0]);
  const address = (await server.listen(ANY_PORT))._unsafeUnwrap();
  t.teardown(() => server.close());
  await assertServes(t, { address, headers: createHead(), log }, [
    "internal-error",
    "agent-not-ready",
  ]);
});
