import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import test from "ava";
import { PeerUsage } from "../../../../src/transport/entry/batch/PeerUsage.ts";
import { ManualClock } from "../../../support/ManualClock.ts";

const ALLOCATED = { processorsMilli: 3_000, memoryBytes: 5, accelerators: 1 };

test("PeerUsage counts the last usage of an unresponsive peer until it is too old", async (t) => {
  const server = createServer((_req, res) => {
    res.end(JSON.stringify({ tenants: { academy: ALLOCATED } }));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => server.close());
  const api = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const clock = new ManualClock();
  const usage = new PeerUsage(clock, () => []);
  await usage.refresh([api]);
  t.like(usage.getTasks(), [{ tenant: "academy", resources: ALLOCATED }]);
  server.closeAllConnections();
  server.close();
  await clock.advance(10_000);
  await usage.refresh([api]);
  t.is(usage.getTasks().length, 1);
  await clock.advance(10_000);
  t.deepEqual(usage.getTasks(), []);
});

test("PeerUsage drops the usage of a peer that has left", async (t) => {
  const usage = new PeerUsage(new ManualClock(), () => []);
  await usage.refresh([]);
  t.deepEqual(usage.getTasks(), []);
  t.like(await usage.getRoute().handle({ params: {}, query: {}, body: undefined }), {
    status: 200,
    body: { tenants: {} },
  });
});
