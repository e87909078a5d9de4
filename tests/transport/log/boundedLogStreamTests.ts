/**
 * Tests of a log whose reader is slow or stuck.
 */
import { EventEmitter } from "node:events";
import { spawn } from "node:child_process";
import test from "ava";
import { BoundedLogStream, type LineSink } from "../../../src/transport/log/BoundedLogStream.ts";
import { PinoLog } from "../../../src/transport/log/PinoLog.ts";

const MAX_BYTES = 2_000;
const STUCK_LINES = 20_000;

/** Sink whose reader reads only when `read` is called. */
class SlowSink extends EventEmitter implements LineSink {
  readonly lines: string[] = [];
  private _unread = 0;

  write(line: string): void {
    this.lines.push(line);
    this._unread += Buffer.byteLength(line);
  }

  read(): void {
    this.emit("write", this._unread);
    this._unread = 0;
  }
}

function createLog(): { readonly log: PinoLog; readonly sink: SlowSink } {
  const sink = new SlowSink();
  return { sink, log: PinoLog.create("info", "p", new BoundedLogStream(sink, MAX_BYTES)) };
}

function countBytes(sink: SlowSink): number {
  return sink.lines.reduce((sum, line) => sum + Buffer.byteLength(line), 0);
}

test("BoundedLogStream buffers a limited number of bytes and drops ordinary lines first", (t) => {
  const { log, sink } = createLog();
  Array.from({ length: 100 }).forEach(() => {
    log.info("Ordinary.");
  });
  t.true(countBytes(sink) <= MAX_BYTES / 2);
  log.warn("Severe.");
  t.true(sink.lines.at(-1)?.includes("Severe."));
  Array.from({ length: 100 }).forEach(() => {
    log.warn("Severe.");
  });
  t.true(countBytes(sink) <= MAX_BYTES);
});

test("BoundedLogStream reports the number of dropped lines once there is free space again", (t) => {
  const { log, sink } = createLog();
  Array.from({ length: 100 }).forEach(() => {
    log.info("Ordinary.");
  });
  const before = sink.lines.length;
  sink.read();
  log.info("Later.");
  const [report, later] = sink.lines.slice(before).map((line) => JSON.parse(line) as object);
  t.like(report, { level: "warn", lines: 100 - before, severe: 0 });
  t.like(later, { msg: "main: Later." });
});

test("PinoLog does not block a process whose standard output nobody reads", async (t) => {
  const script = `
    import { PinoLog } from "./src/transport/log/PinoLog.ts";
    const log = PinoLog.create("info", "p");
    for (let line = 0; line < ${STUCK_LINES}; line += 1) {
      log.info("A line that is long enough to fill the pipe.", { line });
    }
    setTimeout(() => process.stderr.write("continued"), 50);
    setTimeout(() => process.kill(process.pid, "SIGKILL"), 2_000);
  `;
  const child = spawn(process.execPath, ["--input-type=module-typescript", "-e", script], {
    stdio: ["ignore", "pipe", "pipe"],
  });
  // Nobody reads standard output.
  child.stdout.pause();
  const stderrText = await new Promise<string>((resolve) => {
    child.stderr.setEncoding("utf8").once("data", resolve);
    child.once("close", () => {
      resolve("ended without output");
    });
  });
  t.is(stderrText, "continued");
  child.kill("SIGKILL");
});
