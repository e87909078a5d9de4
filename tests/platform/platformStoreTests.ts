/**
 * Tests of the adapter to the users' store against its stand-in over loopback, whose pages have three
 * keys.
 */
import test, { type ExecutionContext } from "ava";
import { PlatformStore } from "../../platform/PlatformStore.ts";
import { createReply, JsonServer } from "../../standins/support/JsonServer.ts";
import { KvServer } from "../../standins/platform/KvServer.ts";
import { findFreeAddress } from "../../standins/support/freePorts.ts";

const TIMEOUT_MS = 10_000;
const KEYS = ["a/1", "a/2", "a/3", "a/4", "a/5"] as const;

async function createStore(
  t: ExecutionContext,
): Promise<{ readonly server: KvServer; readonly store: PlatformStore }> {
  const address = await findFreeAddress();
  const server = new KvServer(address);
  await server.start();
  const store = new PlatformStore(address, TIMEOUT_MS);
  t.teardown(async () => {
    await store.close();
    await server.stop();
  });
  KEYS.forEach((key) => {
    server.put(key, key);
  });
  return { server, store };
}

test("PlatformStore lists page by page, each with its own revision", async (t) => {
  const { server, store } = await createStore(t);
  const first = (await store.listPage("a/", ""))._unsafeUnwrap();
  t.deepEqual(
    first.entries.map(({ key }) => key),
    ["a/1", "a/2", "a/3"],
  );
  t.deepEqual([first.revision, first.next], [KEYS.length, "a/3"]);
  server.put("a/1", "changed");
  const second = (await store.listPage("a/", first.next ?? ""))._unsafeUnwrap();
  t.deepEqual(
    second.entries.map(({ key }) => key),
    ["a/4", "a/5"],
  );
  t.deepEqual([second.revision, second.next], [KEYS.length + 1, undefined]);
});

test("PlatformStore lists all pages of a prefix", async (t) => {
  const { server, store } = await createStore(t);
  server.put("b/1", "other");
  const { entries, revision } = (await store.list("a/"))._unsafeUnwrap();
  t.deepEqual(
    entries.map(({ key, value }) => [key, value]),
    KEYS.map((key) => [key, JSON.stringify(key)]),
  );
  t.is(revision, KEYS.length + 1);
});

test("PlatformStore says how many keys a failed listing had", async (t) => {
  const { server, store } = await createStore(t);
  server.faults.refuseStatus = 503;
  const { kind, detail } = (await store.list("a/"))._unsafeUnwrapErr();
  t.deepEqual([kind, detail], ["unavailable", "the store is unavailable (0 keys were listed)"]);
});

// Guards against a transaction that the store can never execute and that is repeated for ever.
test("PlatformStore distinguishes calls that the store rejects from those it cannot execute now", async (t) => {
  const { server, store } = await createStore(t);
  const kinds = await [400, 413, 429, 503].reduce<Promise<readonly string[]>>(
    async (before, status) => {
      const known = await before;
      server.faults.refuseStatus = status;
      const write = await store.write({ key: "a/1", value: "x", expected: 1 });
      return [...known, write._unsafeUnwrapErr().kind];
    },
    Promise.resolve([]),
  );
  t.deepEqual(kinds, ["rejected", "rejected", "rate-limited", "unavailable"]);
});

// Guards against a value that cannot be read and that is believed with replaced characters.
test("PlatformStore gives a value that is not UTF-8 as an empty text", async (t) => {
  const address = await findFreeAddress();
  const bytes = Buffer.concat([
    Buffer.from('{"zone":"a'),
    Buffer.from([0xe2, 0x82]),
    Buffer.from('"}'),
  ]);
  const item = { key: "a/1", value: bytes.toString("base64"), revision: 1 };
  const sound = { key: "a/2", value: Buffer.from('"\u20ac"').toString("base64"), revision: 2 };
  const reply = { items: [item, sound], has_more: false, as_of: 2 };
  const server = new JsonServer(address, () => createReply(reply));
  await server.start();
  const store = new PlatformStore(address, TIMEOUT_MS);
  t.teardown(async () => {
    await store.close();
    await server.stop();
  });
  const { entries } = (await store.listPage("a/", ""))._unsafeUnwrap();
  t.deepEqual(
    entries.map(({ value }) => value),
    ["", '"\u20ac"'],
  );
});
