/**
 * The command `version`.
 */
import { okAsync, type ResultAsync } from "neverthrow";
import { Command, type CommandFailure, type CommandOutput } from "./Command.ts";

/** Defined by the build; undefined where the sources are run unbuilt. */
declare const FIREFLYLB_VERSION: string | undefined;

/** Prints the version. */
export class VersionCommand extends Command {
  override readonly words = "version";
  override readonly summary = "Print the version";

  override run(): ResultAsync<CommandOutput, CommandFailure> {
    const version = typeof FIREFLYLB_VERSION === "string" ? FIREFLYLB_VERSION : "development";
    const node = process.version;
    return okAsync({ json: { version, node }, lines: [`fireflylb ${version} (node ${node})`] });
  }
}
