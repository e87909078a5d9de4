/**
 * The command `profile show`.
 */
import { err, ok, type ResultAsync } from "neverthrow";
import { EMPTY_DOCUMENT, type ConfigDocument } from "../protocol/config/ConfigDocument.ts";
import { API_FLAGS, ApiClient } from "./ApiClient.ts";
import {
  Command,
  getTextFlag,
  type CommandFailure,
  type CommandInput,
  type CommandOutput,
} from "./Command.ts";
import { formatDocumentFile } from "./configFiles.ts";
import { readConfig } from "./ConfigReader.ts";
import { ExitCode } from "./ExitCode.ts";

/** Shows the configuration in the file format that `profile apply` reads. */
export class ProfileShowCommand extends Command {
  override readonly words = "profile show";
  override readonly usage = "[NAME] [--revision REVISION]";
  override readonly summary = "Show a profile, or the whole configuration, as a file to edit";
  override readonly details = [
    "The first line states the revision; `profile apply` refuses the edited file if",
    "another operator has changed the same values since.",
  ];
  override readonly argCount = [0, 1] as const;
  override readonly flags = {
    revision: { type: "string", value: "REVISION", help: "Revision to show; default: the newest" },
    ...API_FLAGS,
  } as const;

  override run(input: CommandInput): ResultAsync<CommandOutput, CommandFailure> {
    const [name] = input.args;
    const config = readConfig(ApiClient.fromInput(input), getTextFlag(input, "revision"));
    return config.andThen(({ revision, document }) => {
      const shown = name === undefined ? document : selectProfile(document, name);
      if (shown === undefined) {
        return err(unknownProfileFailure(document, name ?? ""));
      }
      const lines = formatDocumentFile(shown, revision);
      return ok({ json: { revision, document: shown }, lines });
    });
  }
}

function selectProfile(document: ConfigDocument, name: string): ConfigDocument | undefined {
  const profile = Object.hasOwn(document.profiles, name) ? document.profiles[name] : undefined;
  return profile === undefined ? undefined : { ...EMPTY_DOCUMENT, profiles: { [name]: profile } };
}

function unknownProfileFailure(document: ConfigDocument, name: string): CommandFailure {
  const known = Object.keys(document.profiles).join(", ");
  const lines = [`no profile ${name}; there ${known === "" ? "is none" : `are ${known}`}`];
  return { exitCode: ExitCode.refused, code: "not-found", lines };
}
