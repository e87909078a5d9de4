/**
 * Tests of the timeout on the time without progress.
 */
import { once } from "node:events";
import test from "ava";
import { ProgressTimeout } from "../../../src/transport/http/ProgressTimeout.ts";

const LONG_MS = 60_000;

function countTimers(): number {
  return process.getActiveResourcesInfo().filter((resource) => resource === "Timeout").length;
}

test("ProgressTimeout aborts with a TimeoutError once the time without progress has passed", async (t) => {
  const timeout = new ProgressTimeout(1);
  await once(timeout.signal, "abort");
  t.is((timeout.signal.reason as Error).name, "TimeoutError");
});

// Guards against timers that outlive their call and pile up with the rate of calls.
test("ProgressTimeout leaves no timer behind once it is stopped", (t) => {
  const before = countTimers();
  const timeout = new ProgressTimeout(LONG_MS);
  timeout.restart();
  t.is(countTimers(), before + 1);
  timeout.stop();
  t.is(countTimers(), before);
});
