/**
 * Runs a process: starts it, waits for a termination signal and stops it gracefully.
 */
import type { Result } from "neverthrow";
import type { ListenError } from "../protocol/errors/errors.ts";
import type { Log } from "../protocol/platform/Log.ts";

/** A role that can be started and stopped. */
export interface RunnableRole {
  start(): Promise<Result<void, ListenError>>;
  stop(): Promise<void>;
}

/**
 * Runs a role until SIGTERM or SIGINT; throws if it cannot start.
 * @param role - The role.
 * @param log - Log of the process.
 */
export async function runProcess(role: RunnableRole, log: Log): Promise<void> {
  process.on("unhandledRejection", (reason) => {
    log.error("Unhandled promise rejection.", { reason: String(reason) });
  });
  // Without a listener, SIGHUP would end the process and interrupt its requests.
  process.on("SIGHUP", () => {
    log.info("Settings may have changed; they are read at the next start.");
  });
  const ended = waitForSignal();
  const started = await role.start();
  if (started.isErr()) {
    throw started.error;
  }
  const signal = await ended;
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
