/**
 * Runs a process: starts it, waits for a termination signal and stops it gracefully. It ends a
 * process with an exception that nothing handled: the loop that had it no longer runs, while others
 * might go on to renew leases for work that is no longer done.
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { Result } from "neverthrow";
import type { ListenError } from "../protocol/errors/errors.ts";
import type { Log } from "../protocol/platform/Log.ts";

/** Time for which a process that ends after an exception waits for its log, in milliseconds. */
const MAX_FLUSH_MS = 1_000;
const FAULT_EVENTS = ["uncaughtException", "unhandledRejection"] as const;

/** A role that can be started and stopped. */
export interface RunnableRole {
  start(): Promise<Result<void, ListenError>>;
  stop(): Promise<void>;
}

/**
 * Runs a role until SIGTERM or SIGINT; throws if it cannot start. It also throws after an exception
 * that nothing handled, once the log has it, and the caller has to end the process; during a stop
 * such an exception is only logged, since the process ends anyway.
 * @param role - The role.
 * @param log - Log of the process.
 * @param onSettingsChanged - Called at SIGHUP; by default, the settings are read at the next start.
 */
export async function runProcess(
  role: RunnableRole,
  log: Log,
  onSettingsChanged = (): void => {
    log.info("Settings may have changed; they are read at the next start.");
  },
): Promise<void> {
  // Without a listener, SIGHUP would end the process and interrupt its requests.
  process.on("SIGHUP", onSettingsChanged);
  const ended = waitForSignal();
  const fault = waitForFault(log);
  const started = await Promise.race([role.start(), fault]);
  if (started.isErr()) {
    throw started.error;
  }
  const signal = await Promise.race([ended, fault]);
  log.info("Received a termination signal; stopping.", { signal });
  await role.stop();
}

async function waitForSignal(): Promise<string> {
  return new Promise((resolve) => {
    (["SIGTERM", "SIGINT"] as const).forEach((signal) => {
      process.once(signal, () => {
        resolve(signal);
      });
    });
  });
}

/** Waits for the first exception that nothing handles, and throws it once the log has it. */
async function waitForFault(log: Log): Promise<never> {
  const cause = await new Promise<unknown>((resolve) => {
    FAULT_EVENTS.forEach((event) => {
      process.on(event, (reason: unknown) => {
        const stack = reason instanceof Error ? reason.stack : undefined;
        log.error("An exception was not handled; the process ends, as its state is unknown.", {
          ...{ event, reason: String(reason), stack },
        });
        resolve(reason);
      });
    });
  });
  await flushLog(log);
  throw cause;
}

/** Waits for the log; one whose reader is stuck would also block the ordinary end of the process. */
async function flushLog(log: Log): Promise<void> {
  const isFlushed = await Promise.race([
    log.flush().then(() => true),
    sleep(MAX_FLUSH_MS, false, { ref: false }),
  ]);
  if (!isFlushed) {
    process.kill(process.pid, "SIGKILL");
  }
}
