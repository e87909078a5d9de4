/**
 * Tests of running a process until it receives a signal.
 */
import test from "ava";
import { ok } from "neverthrow";
import { runProcess } from "../../src/transport/runProcess.ts";
import { MemoryLog } from "../support/MemoryLog.ts";

test("runProcess continues after SIGHUP and stops after SIGTERM", async (t) => {
  // Signal listeners alone do not keep the test process alive.
  const keepAlive = setInterval(() => undefined, 1_000);
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
  clearInterval(keepAlive);
  t.true(isStopped);
});
