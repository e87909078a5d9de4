/**
 * Tests in virtual time of a follower of the store, and of a catalog, whose callbacks throw.
 */
import test from "ava";
import { StoreFollower } from "../../../src/coordination/pool/StoreFollower.ts";
import type { StoreChange } from "../../../src/protocol/platform/Store.ts";
import { JobCatalog } from "../../../src/state/pool/JobCatalog.ts";
import { formatJobKey } from "../../../src/state/pool/PoolKeys.ts";
import { MemoryStore } from "../../../standins/store/MemoryStore.ts";
import { ManualClock } from "../../support/ManualClock.ts";
import { MemoryLog } from "../../support/MemoryLog.ts";
import { createJobId, createJobRecord, POOL } from "../../support/poolFixtures.ts";
import { SeededRandom } from "../../support/SeededRandom.ts";

const PREFIX = "jobs/";
const SYNC_MS = 5_000;

function failOnOdd(changes: readonly StoreChange[]): void {
  if (changes.some(({ value }) => value === "odd")) {
    throw new Error("broken inside");
  }
}

// Guards against a value that ends the process, or stops it from following, because what is done
// with it throws.
test("StoreFollower follows on when a callback throws", async (t) => {
  const clock = new ManualClock();
  const store = new MemoryStore(clock);
  const log = new MemoryLog();
  const seen: string[] = [];
  const handle = (changes: readonly StoreChange[]): void => {
    seen.push(...changes.map(({ key }) => key));
    failOnOdd(changes);
  };
  await store.write({ key: `${PREFIX}1`, value: "odd", expected: 0 });
  const follower = new StoreFollower({
    ...{ store, clock, log, random: new SeededRandom(1), prefix: PREFIX, minIntervalMs: 0 },
    ...{ onListing: handle, onChanges: handle },
  });
  follower.start();
  await clock.advance(SYNC_MS);
  for (const [name, value] of Object.entries({ 2: "odd", 3: "sound" })) {
    await store.write({ key: `${PREFIX}${name}`, value, expected: 0 });
    await clock.advance(SYNC_MS);
  }
  follower.stop();
  t.deepEqual(seen, ["jobs/1", "jobs/2", "jobs/3"]);
  t.true(follower.isSynced);
  const failures = log.lines.filter(({ fields }) =>
    String(fields.reason).includes("broken inside"),
  );
  t.is(failures.length, 2);
});

// Guards against one entry whose handling throws and that takes those after it along.
test("JobCatalog applies the other entries when the handling of one throws", (t) => {
  const unreadable: string[] = [];
  const catalog = new JobCatalog({
    onAccepted: ({ id }) => {
      if (id === createJobId(2)) {
        throw new Error("broken inside");
      }
    },
    onCancelled: () => undefined,
    onUnreadable: (key, { detail }) => unreadable.push(`${key}: ${detail}`),
  });
  const value = JSON.stringify(createJobRecord());
  const keys = [1, 2, 3].map((job) =>
    formatJobKey({ kind: "job", pool: POOL, job: createJobId(job) }),
  );
  catalog.applyIntakeListing(
    keys.map((key) => ({ key, value, revision: 5 })),
    5,
  );
  t.deepEqual(unreadable, [`${keys[1] ?? ""}: Error: broken inside`]);
  t.not(catalog.getJob(createJobId(3))?.record, undefined);
});
