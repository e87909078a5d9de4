/**
 * Tests of which entries claim a pool first, by what their VMs give them.
 */
import test from "ava";
import { getClaimDelayMs } from "../../../src/coordination/pool/claimDelay.ts";
import { CLAIM_MS, ElectionHarness } from "./ElectionHarness.ts";

const LARGE = { linkMbps: 140, processors: 1.35 };

test("getClaimDelayMs lets entries with a narrow link or little of a core claim later", (t) => {
  t.is(getClaimDelayMs(LARGE), 0);
  t.is(getClaimDelayMs({ linkMbps: 1_000, processors: 0.675 }), 0);
  t.true(getClaimDelayMs({ ...LARGE, linkMbps: 14 }) > 0);
  t.true(getClaimDelayMs({ ...LARGE, processors: 0.324 }) > 0);
});

// Guards against a large pool that is scheduled where its reports alone take all of the processor,
// though larger entries are there: with a wide link, the small entry was as quick as they.
test("SchedulerElection elects an entry that can bear the work before a smaller one", async (t) => {
  const harness = new ElectionHarness();
  const small = harness.addCandidate(
    "process-b",
    "small",
    getClaimDelayMs({ linkMbps: 1_000, processors: 0.324 }),
  );
  const large = harness.addCandidate("process-a", "large", getClaimDelayMs(LARGE));
  const revision = harness.model.revision;
  small.election.applyListing(undefined, revision);
  await harness.clock.advance(CLAIM_MS);
  large.election.applyListing(undefined, revision);
  await harness.clock.advance(CLAIM_MS);
  t.is(large.epochs.length, 1);
  t.deepEqual(small.epochs, []);
});
