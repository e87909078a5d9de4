/**
 * Tests of the log lines on the load of a process.
 */
import test from "ava";
import { ProcessLoadLog } from "../../../src/transport/platform/ProcessLoadLog.ts";
import { FreezableClock } from "../../coordination/pool/FreezableClock.ts";
import { ManualClock } from "../../support/ManualClock.ts";
import { MemoryLog } from "../../support/MemoryLog.ts";

const BYTES_PER_MB = 1_048_576;

test("ProcessLoadLog logs the share of a core and the longest delay of the event loop", async (t) => {
  const manual = new ManualClock();
  const clock = new FreezableClock(manual);
  const log = new MemoryLog();
  // A tenth of a core.
  const getUsage = (): { processorUs: number; residentBytes: number } => ({
    processorUs: manual.now() * 100,
    residentBytes: 50 * BYTES_PER_MB,
  });
  const load = new ProcessLoadLog({ clock, log, getUsage });
  load.start();
  await manual.advance(5_000);
  clock.freeze(700);
  await manual.advance(16_000);
  const [first, second] = log.lines.map(({ fields }) => fields);
  t.is(first?.processorShare, 0.1);
  t.is(first?.residentMb, 50);
  t.true(Number(first?.longestDelayMs) >= 400 && Number(first?.longestDelayMs) <= 700);
  t.is(second?.longestDelayMs, 0);
  load.stop();
  await manual.advance(20_000);
  t.is(log.lines.length, 2);
});
