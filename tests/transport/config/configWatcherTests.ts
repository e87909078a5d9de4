import { errAsync, okAsync } from "neverthrow";
import test from "ava";
import { ActiveConfig } from "../../../src/coordination/config/ActiveConfig.ts";
import {
  EMPTY_DOCUMENT,
  type ConfigSnapshot,
} from "../../../src/protocol/config/ConfigDocument.ts";
import {
  CONFIG_KEY,
  formatStoredConfig,
  INITIAL_CONFIG,
} from "../../../src/protocol/config/StoredConfig.ts";
import { ConfigWatcher } from "../../../src/transport/config/ConfigWatcher.ts";
import { MemoryStore } from "../../../standins/store/MemoryStore.ts";
import { ManualClock } from "../../support/ManualClock.ts";
import { MemoryLog } from "../../support/MemoryLog.ts";
import { SeededRandom } from "../../support/SeededRandom.ts";

const MAX_RECOVERY_MS = 4000;

const snapshot = (revision: number): ConfigSnapshot => ({ revision, document: EMPTY_DOCUMENT });
const value = (revision: number) => formatStoredConfig({ ...INITIAL_CONFIG, revision });

function createSetup(peers: () => readonly ConfigSnapshot[] = () => []) {
  const clock = new ManualClock();
  const store = new MemoryStore(clock);
  const activeConfig = new ActiveConfig();
  const log = new MemoryLog();
  const watcher = new ConfigWatcher({
    store,
    activeConfig,
    clock,
    log,
    random: new SeededRandom(2),
    fetchPeerSnapshots: () => Promise.resolve(peers()),
  });
  const write = (revision: number): void => {
    const expected = store.model.read(CONFIG_KEY)?.revision ?? 0;
    store.model.write({ key: CONFIG_KEY, value: value(revision), expected });
  };
  return { clock, store, activeConfig, log, watcher, write };
}

test("ConfigWatcher applies the empty document only if the store has none", async (t) => {
  const { clock, store, activeConfig, watcher } = createSetup();
  store.startOutage();
  watcher.start();
  await clock.advance(60_000);
  t.is(activeConfig.getSnapshot(), undefined);
  store.endOutage();
  await clock.advance(MAX_RECOVERY_MS);
  t.deepEqual(activeConfig.getSnapshot(), snapshot(0));
  watcher.stop();
});

test("ConfigWatcher receives changes with a single pending watch", async (t) => {
  const { clock, store, activeConfig, watcher, write } = createSetup();
  write(1);
  watcher.start();
  await clock.advance(0);
  t.is(activeConfig.getRevision(), 1);
  write(2);
  await clock.advance(0);
  t.is(activeConfig.getRevision(), 2);
  t.is(store.counts.waitingWatches, 1);
  t.is(store.counts.reads, 3);
  watcher.stop();
});

test("ConfigWatcher applies a change within 4 s of the end of an outage", async (t) => {
  const { clock, store, activeConfig, watcher, write } = createSetup();
  write(1);
  watcher.start();
  await clock.advance(0);
  store.startOutage();
  await clock.advance(600_000);
  t.is(activeConfig.getRevision(), 1);
  write(2);
  store.endOutage();
  await clock.advance(MAX_RECOVERY_MS);
  t.is(activeConfig.getRevision(), 2);
  watcher.stop();
});

test("ConfigWatcher applies the highest revision of its peers in an outage", async (t) => {
  const { clock, store, activeConfig, watcher, write } = createSetup(() => [3, 5, 4].map(snapshot));
  store.startOutage();
  watcher.start();
  await clock.advance(MAX_RECOVERY_MS);
  t.is(activeConfig.getRevision(), 5);
  write(4);
  store.endOutage();
  await clock.advance(MAX_RECOVERY_MS);
  t.is(activeConfig.getRevision(), 5);
  watcher.stop();
});

test("ConfigWatcher keeps the active configuration if the store has lost it", async (t) => {
  const { clock, activeConfig, log, watcher } = createSetup();
  activeConfig.applyIfNewer(snapshot(5));
  watcher.start();
  await clock.advance(0);
  t.is(activeConfig.getRevision(), 5);
  t.true(log.lines.some((line) => line.level === "error" && line.sentence.includes("lost")));
  watcher.stop();
});

test("ConfigWatcher ignores a stale watch reply and continues to watch", async (t) => {
  const { clock, store, activeConfig, watcher, write } = createSetup();
  write(1);
  write(2);
  const watch = store.watch.bind(store);
  let staleReplies = 3;
  store.watch = (prefix, after) => {
    staleReplies -= 1;
    return staleReplies < 0
      ? watch(prefix, after)
      : okAsync({
          changes: [{ key: CONFIG_KEY, value: value(1), revision: 1 }],
          revision: 1,
        });
  };
  watcher.start();
  await clock.advance(0);
  t.is(activeConfig.getRevision(), 2);
  write(3);
  await clock.advance(0);
  t.is(activeConfig.getRevision(), 3);
  watcher.stop();
});

test("ConfigWatcher lists again after a compaction", async (t) => {
  const { clock, store, activeConfig, watcher, write } = createSetup();
  write(1);
  const watch = store.watch.bind(store);
  let compactions = 1;
  store.watch = (prefix, after) => {
    compactions -= 1;
    if (compactions < 0) {
      return watch(prefix, after);
    }
    write(2);
    return errAsync({ kind: "compacted", mayHaveWritten: false, detail: "" });
  };
  watcher.start();
  await clock.advance(MAX_RECOVERY_MS);
  t.is(activeConfig.getRevision(), 2);
  watcher.stop();
});

test("ConfigWatcher fetches a revision reported by another process while its watch hangs", async (t) => {
  const peers: ConfigSnapshot[] = [];
  const { clock, store, activeConfig, watcher, write } = createSetup(() => peers);
  write(1);
  watcher.start();
  await clock.advance(0);
  store.startOutage();
  peers.push(snapshot(2));
  watcher.handleRevision(2);
  await clock.advance(0);
  t.is(activeConfig.getRevision(), 2);
  write(3);
  watcher.handleRevision(3);
  await clock.advance(10_000);
  t.is(activeConfig.getRevision(), 2);
  store.endOutage();
  await clock.advance(MAX_RECOVERY_MS);
  t.is(activeConfig.getRevision(), 3);
  watcher.stop();
});
