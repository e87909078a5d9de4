/**
 * The command `profile diff`.
 */
import { errAsync, okAsync, type ResultAsync } from "neverthrow";
import { getDifferences } from "../coordination/config/documentKeys.ts";
import type { ConfigDifference } from "../protocol/config/ConfigChange.ts";
import type { ConfigDocument } from "../protocol/config/ConfigDocument.ts";
import { API_FLAGS, ApiClient } from "./ApiClient.ts";
import {
  Command,
  getTextFlag,
  type CommandFailure,
  type CommandInput,
  type CommandOutput,
} from "./Command.ts";
import { readDocumentFile } from "./configFiles.ts";
import { readConfig } from "./ConfigReader.ts";
import { usageFailure } from "./failures.ts";

/** Shows the differences between two configuration documents. */
export class ProfileDiffCommand extends Command {
  override readonly words = "profile diff";
  override readonly usage = "FILE | --from REVISION [--to REVISION]";
  override readonly summary = "Show the differences between the configuration in force and a file";
  override readonly details = [
    "With --from, compares two revisions instead; --to defaults to the newest.",
  ];
  override readonly argCount = [0, 1] as const;
  override readonly flags = {
    from: { type: "string", value: "REVISION", help: "Earlier revision" },
    to: { type: "string", value: "REVISION", help: "Later revision" },
    ...API_FLAGS,
  } as const;

  override run(input: CommandInput): ResultAsync<CommandOutput, CommandFailure> {
    const [file] = input.args;
    const from = getTextFlag(input, "from");
    if ((file === undefined) === (from === undefined)) {
      return errAsync(usageFailure("either FILE or --from is required"));
    }
    const client = ApiClient.fromInput(input);
    return readConfig(client, from).andThen((before) => {
      const after =
        file === undefined
          ? readConfig(client, getTextFlag(input, "to")).map((config) => config.document)
          : readDocumentFile(file).map((read) => read.document);
      return after.andThen((document) => okAsync(toDiffOutput(before.document, document)));
    });
  }
}

function toDiffOutput(before: ConfigDocument, after: ConfigDocument): CommandOutput {
  const differences = getDifferences(before, after);
  const lines = differences.flatMap(formatDifference);
  return { json: { differences }, lines: lines.length > 0 ? lines : ["no difference"] };
}

function formatDifference(difference: ConfigDifference): readonly string[] {
  const { section, key, before, after } = difference;
  const removed = before === undefined ? [] : [`- ${JSON.stringify(before)}`];
  const added = after === undefined ? [] : [`+ ${JSON.stringify(after)}`];
  return [`${section} ${key}`, ...removed, ...added];
}
