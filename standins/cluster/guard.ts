/**
 * Kills the processes of a cluster when the process that started them has died. It reads "+PID" and
 * "-PID" lines, and when its input closes it kills the processes that are still registered.
 */
import { createInterface } from "node:readline";

const pids = new Set<number>();

createInterface({ input: process.stdin })
  .on("line", (line) => {
    const pid = Number(line.slice(1));
    if (line.startsWith("+")) {
      pids.add(pid);
    } else {
      pids.delete(pid);
    }
  })
  .on("close", () => {
    pids.forEach(killIfAlive);
    process.exit(0);
  });

// Only the end of the input ends this process: signals to its process group are ignored.
(["SIGINT", "SIGTERM", "SIGHUP"] as const).forEach((signal) => {
  process.on(signal, () => undefined);
});

function killIfAlive(pid: number): void {
  try {
    process.kill(pid, "SIGKILL");
  } catch {
    // The process has already exited.
  }
}
