/**
 * Polls an entry until a revision of the configuration is in force at every live process.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { err, ok, type Result, ResultAsync } from "neverthrow";
import { z } from "zod";
import type { ApiClient } from "./ApiClient.ts";
import type { CommandFailure } from "./Command.ts";
import { ExitCode } from "./ExitCode.ts";

const WAIT_MS = 10_000;
const POLL_MS = 200;

const coverageSchema = z.object({
  total: z.number(),
  holding: z.number(),
  complete: z.boolean(),
  missing: z.array(z.object({ role: z.string(), name: z.string() })).readonly(),
});

/** Processes at which a revision is in force, as reported by an entry. */
export type Coverage = Readonly<z.infer<typeof coverageSchema>>;

/** Waits for revisions to be in force everywhere. */
export class CoveragePoller {
  private readonly _client: ApiClient;

  /**
   * Creates a poller.
   * @param client - Client of the operator API.
   */
  constructor(client: ApiClient) {
    this._client = client;
  }

  /**
   * Resolves once a revision is in force at every live process; fails after a timeout.
   * @param revision - The revision.
   */
  waitFor(revision: number): ResultAsync<Coverage, CommandFailure> {
    return new ResultAsync(this._poll(revision, Date.now() + WAIT_MS));
  }

  private async _poll(revision: number, endsAt: number): Promise<Result<Coverage, CommandFailure>> {
    const response = await this._client.read(`/v1/config/coverage?revision=${revision}`);
    const coverage = response
      .map((body) => coverageSchema.safeParse(body).data)
      .unwrapOr(undefined);
    if (coverage?.complete === true) {
      return ok(coverage);
    }
    if (Date.now() >= endsAt) {
      return err(timeoutFailure(revision, coverage));
    }
    await sleep(POLL_MS);
    return this._poll(revision, endsAt);
  }
}

function timeoutFailure(revision: number, coverage: Coverage | undefined): CommandFailure {
  const missing = coverage?.missing.map(({ role, name }) => `${role} ${name}`).join(", ");
  const status =
    coverage === undefined
      ? "no entry reports where it is in force"
      : `in force at ${coverage.holding} of ${coverage.total} processes, not at ${missing ?? ""}`;
  return {
    exitCode: ExitCode.spreading,
    code: "not-everywhere-yet",
    lines: [`revision ${revision} is accepted, but ${status}`],
    json: { kind: "accepted", revision, coverage },
  };
}
