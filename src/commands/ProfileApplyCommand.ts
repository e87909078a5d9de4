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

/** Applies the profiles, assignments, quotas, classes and heat levels of a file. */
export class ProfileApplyCommand extends Command {
  override readonly words = "profile apply";
  override readonly usage = "FILE [--replace]";
  override readonly summary = "Apply the profiles, assignments and quotas of a file";
  override readonly details = [
    "All values of the file take effect together or not at all. Values that are not in the file",
    "stay as they are, unless --replace is given. The base is the revision in the first line of",
    "the file, as `profile show` writes it, or without such a line the revision in force.",
  ];
  override readonly argCount = [1, 1] as const;
  override readonly flags = {
    replace: { type: "boolean", help: "Remove values that are not in the file" },
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
