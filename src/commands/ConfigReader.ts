/**
 * Reads the configuration in force, or an earlier revision of it, from an entry.
 */
import { err, ok, type ResultAsync } from "neverthrow";
import { z } from "zod";
import { configDocumentSchema, type ConfigSnapshot } from "../protocol/config/ConfigDocument.ts";
import type { ApiClient } from "./ApiClient.ts";
import type { CommandFailure } from "./Command.ts";
import { ExitCode } from "./ExitCode.ts";

const snapshotSchema = z.object({
  revision: z.number().int().min(0),
  document: configDocumentSchema,
});

/**
 * Reads a configuration.
 * @param client - Client of the operator API.
 * @param revision - Revision to read; the one in force by default.
 */
export function readConfig(
  client: ApiClient,
  revision?: string,
): ResultAsync<ConfigSnapshot, CommandFailure> {
  const query = revision === undefined ? "" : `?revision=${encodeURIComponent(revision)}`;
  return client.read(`/v1/config${query}`).andThen((body) => {
    const parsed = snapshotSchema.safeParse(body);
    return parsed.success ? ok(parsed.data) : err(unreadableConfigFailure(parsed.error.message));
  });
}

function unreadableConfigFailure(detail: string): CommandFailure {
  const lines = [`the configuration in the entry's response is malformed: ${detail}`];
  return { exitCode: ExitCode.fault, code: "unreadable-answer", lines };
}
