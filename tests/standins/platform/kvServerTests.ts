/**
 * Tests of the stand-in for the users' store.
 */
import test from "ava";
import { PlatformStore } from "../../../platform/PlatformStore.ts";
import { KvServer } from "../../../standins/platform/KvServer.ts";
import { findFreeAddresses } from "../../../standins/support/freePorts.ts";

const TIMEOUT_MS = 5_000;

// Guards against a watch that is rejected if there are changes already, so that a follower repeats
// it for ever.
test("KvServer responds to a watch whose changes are there already", async (t) => {
  const [address = ""] = await findFreeAddresses(1);
  const server = new KvServer(address);
  await server.start();
  const store = new PlatformStore(address, TIMEOUT_MS);
  t.teardown(async () => {
    await store.close();
    await server.stop();
  });
  server.put("a/1", { n: 1 });
  const { changes, revision } = (await store.watch("a/", 0))._unsafeUnwrap();
  t.deepEqual(
    changes.map(({ key, value }) => [key, value]),
    [["a/1", '{"n":1}']],
  );
  const none = (await store.watch("a/", revision, 1))._unsafeUnwrap();
  t.deepEqual(none, { changes: [], revision });
});
