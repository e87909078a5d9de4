/**
 * Tests of running a process until it receives a signal or has a fault.
 */
import { spawn, type ChildProcess } from "node:child_process";
import { once } from "node:events";
import { text } from "node:stream/consumers";
import test, { type ExecutionContext } from "ava";
import { ok } from "neverthrow";
import { runProcess } from "../../src/transport/runProcess.ts";
import { MemoryLog } from "../support/MemoryLog.ts";

const FAULTY_PROCESS = new URL("../support/faultyProcess.ts", import.meta.url).pathname;

type LogLine = Readonly<Record<string, unknown>>;

/** Starts a process that has an exception after some lines of log; it is killed with the test. */
function startFaultyProcess(t: ExecutionContext, kind: string, lineCount: number): ChildProcess {
  const args = [FAULTY_PROCESS, kind, String(lineCount)];
  const child = spawn(process.execPath, args, { stdio: ["ignore", "pipe", "ignore"] });
  t.teardown(() => child.kill("SIGKILL"));
  return child;
}

async function runFaultyProcess(
  t: ExecutionContext,
  kind: string,
  lineCount: number,
): Promise<{ readonly code: number | null; readonly lines: readonly LogLine[] }> {
  const child = startFaultyProcess(t, kind, lineCount);
  const ended = once(child, "exit");
  const out = child.stdout === null ? "" : await text(child.stdout);
  await ended;
  const lines = out.trim().split("\n");
  return { code: child.exitCode, lines: lines.map((line) => JSON.parse(line) as LogLine) };
}

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

// Guards against a process of which one loop has died and that still renews its leases, so that it
// keeps what it no longer does; and against an end whose reason is not in the log.
test("runProcess ends a process whose promise was rejected, with its stack in the log", async (t) => {
  const { code, lines } = await runFaultyProcess(t, "rejection", 400);
  t.is(code, 1);
  const [error, ...others] = lines.filter(({ level }) => level === "error");
  t.deepEqual(others, []);
  t.is(error?.reason, "Error: loop failed");
  t.regex(String(error?.stack), /\bfail \(/);
  t.is(lines.length, 401, "lines were lost");
});

// Guards against an end whose reason is not in the log.
test("runProcess ends a process that has an exception in a timer, with its stack in the log", async (t) => {
  const { code, lines } = await runFaultyProcess(t, "exception", 400);
  t.is(code, 1);
  t.is(lines.find(({ level }) => level === "error")?.reason, "Error: timer failed");
  t.is(lines.length, 401, "lines were lost");
});

// Guards against requests that are cut off in a graceful stop, which ends the process in any case.
test("runProcess completes a stop during which a promise was rejected", async (t) => {
  const { code } = await runFaultyProcess(t, "rejection-in-stop", 0);
  t.is(code, 0);
});

// Guards against a process that never ends because nobody reads its log.
test("runProcess ends a process with a fault although nobody reads its log", async (t) => {
  const child = startFaultyProcess(t, "rejection", 800);
  await once(child, "exit");
  t.not(child.exitCode, 0);
});
