/**
 * Tests of announcements of backend servers with values that cannot be right.
 */
import test from "ava";
import { Pool } from "undici";
import { serverAnnouncementSchema } from "../../src/protocol/ServerAnnouncement.ts";

const SOUND = {
  ...{ service: "rota-desk", id: "server-1", address: "10.0.0.1:8080", slots: 8, connections: 8 },
  ...{ inUse: 0, draining: false },
};

// Guards against an address that no URL can hold: connecting to it throws, which could end the agent.
test("serverAnnouncementSchema rejects addresses that cannot be called", async (t) => {
  const addresses = [
    "10.0.0.1:0",
    "10.0.0.1:65536",
    "10.0.0.1:99999",
    "10.0.0.1:-1",
    "a@b:80",
    "[",
  ];
  const accepted = addresses.filter(
    (address) => serverAnnouncementSchema.safeParse({ ...SOUND, address }).success,
  );
  t.deepEqual(accepted, []);
  const { address } = serverAnnouncementSchema.parse(SOUND);
  await new Pool(`http://${address}`).close();
});

test("serverAnnouncementSchema rejects numbers that cannot be right", (t) => {
  const fields = ["slots", "connections", "inUse", "processorsMilli", "memoryBytes"];
  const odd = fields.flatMap((field) =>
    [1e308, 2 ** 53, -1, 0.5, "1", null].map((value) => ({ ...SOUND, [field]: value })),
  );
  t.deepEqual(
    odd.filter((announcement) => serverAnnouncementSchema.safeParse(announcement).success),
    [],
  );
});
