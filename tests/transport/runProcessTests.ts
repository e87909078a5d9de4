/**
 * Tests of the life of a process.
 */
import test from "ava";
import { ok } from "neverthrow";
import { runProcess } from "../../src/transport/runProcess.ts";
import { MemoryLog } from "../support/MemoryLog.ts";

test("runProcess goes on after SIGHUP and ends after SIGTERM", async (t) => {
  // Listeners for signals alone do not keep the process of the tests going.
  const alive = setInterval(() => undefined, 1_000);
  const log = new MemoryLog();
  let isStopped = false;
  const role = {
    start: () => Promise.resolve(ok(undefined)),
    stop: () => {
      isStopped = true;
      return Promise.resolve();
    },
  };
  const ended = runProcess(role, log);
  process.kill(process.pid, "SIGHUP");
  while (!log.lines.some(({ sentence }) => sentence.startsWith("Settings may have changed"))) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  t.false(isStopped);
  process.kill(process.pid, "SIGTERM");
  await ended;
  clearInterval(alive);
  t.true(isStopped);
});
