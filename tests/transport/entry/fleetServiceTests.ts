/**
 * Tests of which entries agents are told about, in virtual time.
 */
import { create } from "@bufbuild/protobuf";
import test from "ava";
import { ServerTable } from "../../../src/coordination/requests/ServerTable.ts";
import {
  DigestSchema,
  HeartbeatRequestSchema,
} from "../../../src/protocol/generated/fireflylb/v1/control_pb.ts";
import { FleetView } from "../../../src/state/FleetView.ts";
import { EntryClients } from "../../../src/transport/control/EntryClients.ts";
import { FleetService } from "../../../src/transport/entry/FleetService.ts";
import { ManualClock } from "../../support/ManualClock.ts";
import { MemoryLog } from "../../support/MemoryLog.ts";

const INTERVAL_MS = 500;
const EXPIRY_MS = 3_000;
const REPORTING = { entry: "reporting", zone: "zone-b", controlAddress: "127.0.0.1:2" };

function createEntry(name: string, port: number) {
  const address = `127.0.0.1:${port}`;
  return { name, zone: "zone-a", region: "region", control: address, api: address };
}

function createService(clock: ManualClock): FleetService {
  const entry = createEntry("own", 1);
  return new FleetService({
    clock,
    log: new MemoryLog(),
    entry,
    fleet: new FleetView(),
    table: new ServerTable(),
    clients: new EntryClients(),
    intervalMs: INTERVAL_MS,
    expiryMs: EXPIRY_MS,
    getConfigRevision: () => 1,
    getEntries: () => [entry],
    getOwners: () => [],
    isDraining: () => false,
    onPeerRevision: () => undefined,
    onVmExpired: () => undefined,
  });
}

/** Gets the entries that a heartbeat is answered with. */
function getAnnounced(service: FleetService): readonly string[] {
  const heartbeat = create(HeartbeatRequestSchema, { agent: "agent-1", zone: "zone-a" });
  return service.handleHeartbeat(heartbeat).entryAddresses;
}

// Guards against an entry that sees no VMs any more because the store has lost its registration.
test("FleetService announces an entry that reports although it is not registered", async (t) => {
  const clock = new ManualClock();
  const service = createService(clock);
  t.deepEqual(getAnnounced(service), ["127.0.0.1:1"]);
  service.handleDigest(create(DigestSchema, REPORTING));
  t.deepEqual(getAnnounced(service), ["127.0.0.1:1", "127.0.0.1:2"]);
  service.start();
  await clock.advance(EXPIRY_MS + INTERVAL_MS);
  service.stop();
  t.deepEqual(getAnnounced(service), ["127.0.0.1:1"]);
});

test("FleetService does not announce an entry that has left and is draining", (t) => {
  const service = createService(new ManualClock());
  service.handleDigest(create(DigestSchema, { ...REPORTING, draining: true }));
  t.deepEqual(getAnnounced(service), ["127.0.0.1:1"]);
});
