/**
 * Tests of which trackers of run ends are kept.
 */
import test from "ava";
import { AckTrackerTable } from "../../../src/coordination/pool/AckTrackerTable.ts";

const INCARNATIONS = Array.from({ length: 1_000 }, (_, position) => `i-1@${position}`);
const MAX_SIZE = 10;

// Guards against a scheduler whose memory grows with every restart of a worker.
test("AckTrackerTable keeps the trackers of the last incarnations of each agent", (t) => {
  const table = new AckTrackerTable();
  const other = table.getTracker("agent-b", "i-2@1");
  INCARNATIONS.forEach((worker) => {
    table.getTracker("agent-a", worker).addEnd(1);
  });
  t.true(table.size <= MAX_SIZE, `${table.size} trackers`);
  t.is(table.getTracker("agent-b", "i-2@1"), other);
  t.is(table.getTracker("agent-a", "i-1@998").lastHandledEnd, 1);
  t.is(table.getTracker("agent-a", "i-1@0").lastHandledEnd, 0);
});

test("AckTrackerTable gives the number up to which ends of an incarnation are recorded", (t) => {
  const table = new AckTrackerTable();
  t.is(table.getAckedEnd("agent-a", "i-1@0"), 0);
  const tracker = table.getTracker("agent-a", "i-1@0");
  [1, 2, 3].forEach((number) => {
    tracker.addEnd(number);
  });
  tracker.markRecorded(1);
  tracker.markRecorded(3);
  t.is(table.getAckedEnd("agent-a", "i-1@0"), 1);
  t.is(table.getAckedEnd("agent-b", "i-1@0"), 0);
});
