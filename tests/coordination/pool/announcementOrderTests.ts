/**
 * Tests of when announcements are verified, and of responses that overtake each other.
 */
import test from "ava";
import { errAsync, okAsync, type ResultAsync } from "neverthrow";
import type {
  SyncCall,
  WorkerAnnouncement,
  WorkerCallFailure,
  WorkerRuns,
} from "../../../src/protocol/platform/PoolWorker.ts";
import { AnnouncementVerifier } from "../../../src/coordination/pool/AnnouncementVerifier.ts";
import { createFencingToken } from "../../support/createWorkerAgent.ts";
import { ManualClock } from "../../support/ManualClock.ts";
import { MemoryLog } from "../../support/MemoryLog.ts";
import { createAnnouncement } from "../../support/poolFixtures.ts";
import { SilentWorker } from "../../support/SilentWorker.ts";

const ANSWERED_MS = 1_000;
const ANNOUNCEMENT = createAnnouncement();

/** Worker that refuses tokens lower than one that it has seen in another call. */
class RefusingWorker extends SilentWorker {
  seenToken = 0;

  override sync(call: SyncCall): ResultAsync<WorkerRuns, WorkerCallFailure> {
    return super
      .sync(call)
      .andThen((lists) =>
        call.fencingToken < this.seenToken
          ? errAsync({ kind: "fenced", detail: "" } as const)
          : okAsync(lists),
      );
  }
}

function createFixture(epoch: number) {
  const clock = new ManualClock();
  const worker = new RefusingWorker(clock);
  const fencingToken = createFencingToken();
  worker.lists = { ...worker.lists, startedAtMs: 1 };
  const confirmed: string[] = [];
  const verifier = new AnnouncementVerifier({
    ...{ worker, log: new MemoryLog(), fencingToken },
    getEpoch: () => epoch,
    getPresent: () => undefined,
    onConfirmed: ({ announcement }) => confirmed.push(announcement.id),
  });
  const announce = (change: Partial<WorkerAnnouncement>): void => {
    verifier.add({ announcement: { ...ANNOUNCEMENT, ...change }, announcedAt: 0 });
    void verifier.verify();
  };
  return { clock, worker, confirmed, verifier, announce, fencingToken };
}

// Guards against calls to the worker that nobody needs, as no scheduler follows the agent yet.
test("AnnouncementVerifier asks nothing before the agent follows a scheduler", async (t) => {
  const { clock, worker, announce } = createFixture(0);
  announce({});
  await clock.advance(ANSWERED_MS);
  t.is(worker.syncs.length, 0);
});

// Guards against an incarnation that replaces its successor, as its response arrives last.
test("AnnouncementVerifier ignores a confirmation that a later one has overtaken", async (t) => {
  const { clock, worker, confirmed, announce } = createFixture(1);
  worker.callMs = 200;
  announce({ id: "former" });
  await clock.advance(1);
  worker.callMs = 100;
  announce({ id: "next" });
  await clock.advance(ANSWERED_MS);
  t.deepEqual(confirmed, ["next"]);
});

// Guards against an agent that asks for ever for an incarnation that is not there.
test("AnnouncementVerifier asks once for an incarnation that another one denies", async (t) => {
  const { clock, worker, confirmed, verifier, announce } = createFixture(1);
  announce({ startedAtMs: 2 });
  await clock.advance(ANSWERED_MS);
  void verifier.verify();
  await clock.advance(ANSWERED_MS);
  t.is(worker.syncs.length, 1);
  t.deepEqual(confirmed, []);
});

// Guards against a worker that is not followed while a call for lists waits: its confirmation was
// refused, as another call of the agent had a later token.
test("AnnouncementVerifier asks again at once if the worker refuses a token that was replaced", async (t) => {
  const { clock, worker, confirmed, announce, fencingToken } = createFixture(1);
  announce({});
  fencingToken.expire(fencingToken.value);
  worker.seenToken = fencingToken.value ?? 0;
  await clock.advance(2 * worker.callMs);
  t.deepEqual(confirmed, ["i-1"]);
});
