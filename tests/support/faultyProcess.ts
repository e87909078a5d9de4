/**
 * Process for tests whose role starts and then has an exception that nothing handles. Arguments: the
 * kind of the exception, and the number of log lines that are written before it.
 */
import { ok } from "neverthrow";
import { PinoLog } from "../../src/transport/log/PinoLog.ts";
import { runProcess } from "../../src/transport/runProcess.ts";

const [kind = "", lineCount = "0"] = process.argv.slice(2);
const log = PinoLog.create("info", "faulty");

function fail(): void {
  Array.from({ length: Number(lineCount) }).forEach(() => {
    log.warn("Line before the exception.", { filler: "x".repeat(1_000) });
  });
  switch (kind) {
    case "rejection":
      void Promise.reject(new Error("loop failed"));
      break;
    case "rejection-in-stop":
      process.kill(process.pid, "SIGTERM");
      break;
    default:
      throw new Error("timer failed");
  }
}

// The role goes on after the exception, as one does whose other loops are sound.
setInterval(() => undefined, 1_000);
const role = {
  start: () => {
    setImmediate(fail);
    return Promise.resolve(ok(undefined));
  },
  stop: async () => {
    void Promise.reject(new Error("loop failed"));
    await new Promise((resolve) => setImmediate(resolve));
  },
};
runProcess(role, log).then(
  () => process.exit(0),
  (cause: unknown) => {
    console.error(cause);
    process.exit(1);
  },
);
