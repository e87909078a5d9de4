/**
 * The command `profile apply`.
 */
import { okAsync, type ResultAsync } from "neverthrow";
import type { ConfigOperation } from "../protocol/config/ConfigChange.ts";
import type { ConfigDocument } from "../protocol/config/ConfigDocument.ts";
import { API_FLAGS, ApiClient } from "./ApiClient.ts";
import { CHANGE_FLAGS, sendChange } from "./configChanges.ts";
import {
  Command,
  isFlagSet,
  type CommandFailure,
  type CommandInput,
  type CommandOutput,
} from "./Command.ts";
import { readDocumentFile } from "./configFiles.ts";
import { readConfig } from "./ConfigReader.ts";
import { toOperations } from "./documentOperations.ts";

/** Puts a file's profiles, assignments, quotas, classes and heat levels in force. */
export class ProfileApplyCommand extends Command {
  override readonly words = "profile apply";
  override readonly usage = "FILE [--replace]";
  override readonly summary = "Put the profiles, assignments and quotas of a file in force";
  override readonly details = [
    "All values of the file take effect together or not at all. Values that the file does not",
    "name stay as they are, unless --replace is given. The base is the revision that the file",
    "states in its first line, as `profile show` writes it, else the one in force now.",
  ];
  override readonly argCount = [1, 1] as const;
  override readonly flags = {
    replace: { type: "boolean", help: "Remove what the file does not name" },
    ...CHANGE_FLAGS,
    ...API_FLAGS,
  } as const;

  override run(input: CommandInput): ResultAsync<CommandOutput, CommandFailure> {
    const [file = ""] = input.args;
    return readDocumentFile(file).andThen(({ document, revision }) =>
      readConfig(ApiClient.fromInput(input)).andThen((current) => {
        const operations = isFlagSet(input, "replace")
          ? replaceAll(document)
          : toOperations(current.document, document);
        if (operations.length === 0) {
          const json = { kind: "unchanged", revision: current.revision };
          const lines = [`nothing to change at revision ${current.revision}`];
          return okAsync<CommandOutput, CommandFailure>({ json, lines });
        }
        return sendChange(input, { operations, baseRevision: revision ?? current.revision });
      }),
    );
  }
}

function replaceAll(document: ConfigDocument): readonly ConfigOperation[] {
  return [{ kind: "replace-document", document }];
}
