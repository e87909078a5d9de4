/**
 * Tests of what is recorded about a request whose caller disconnects.
 */
import { once } from "node:events";
import { createServer, request, type RequestListener } from "node:http";
import type { AddressInfo } from "node:net";
import test, { type ExecutionContext } from "ava";
import { RoundRobinPicker } from "../../../../src/coordination/requests/pickers/RoundRobinPicker.ts";
import { RequestRouter } from "../../../../src/coordination/requests/RequestRouter.ts";
import { ServerTable } from "../../../../src/coordination/requests/ServerTable.ts";
import type { RequestTrace } from "../../../../src/state/RequestTraces.ts";
import { AgentConnections } from "../../../../src/transport/entry/requests/AgentConnections.ts";
import { RequestHandler } from "../../../../src/transport/entry/requests/RequestHandler.ts";
import { RequestSettler } from "../../../../src/transport/entry/requests/RequestSettler.ts";
import { createVm } from "../../../support/createVm.ts";
import { ManualClock } from "../../../support/ManualClock.ts";
import { SeededRandom } from "../../../support/SeededRandom.ts";

const CALLER = {
  service: "rota-desk",
  tenant: "t",
  requestClass: "c",
  idempotent: false,
  timeoutMs: 1_000,
  method: "POST",
};

async function startServer(t: ExecutionContext, handle: RequestListener): Promise<string> {
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

// Guards against a trace and a metric that show a request as not run while its agent has it.
test("RequestHandler records that a request may have run whose caller disconnects during an attempt", async (t) => {
  const attempted = Promise.withResolvers<undefined>();
  const ended = Promise.withResolvers<RequestTrace>();
  const requestAddress = await startServer(t, () => {
    attempted.resolve(undefined);
  });
  const clock = new ManualClock();
  const table = new ServerTable();
  table.handleReport(createVm("vm-0", { requestAddress }));
  const router = new RequestRouter({
    clock,
    table,
    picker: new RoundRobinPicker(),
    random: new SeededRandom(1),
    zone: "zone-1",
    retryPercent: 10,
  });
  const connections = new AgentConnections();
  t.teardown(() => connections.close());
  const settler = new RequestSettler(clock, connections);
  const deps = { clock, router, connections, settler, sender: "entry", onEnd: ended.resolve };
  const entry = await startServer(t, (_, res) => {
    const body = { kind: "none" } as const;
    const received = { id: "r-1", caller: CALLER, path: "/", headers: [], body, arrivedAt: 0, res };
    new RequestHandler(deps, received).start();
  });
  const caller = request(`http://${entry}/`, { method: "POST" });
  caller.on("error", () => undefined);
  caller.end();
  await attempted.promise;
  caller.destroy();
  const { outcome, verdict } = await ended.promise;
  t.deepEqual({ outcome, verdict }, { outcome: "caller-gone", verdict: "may-have-run" });
});
