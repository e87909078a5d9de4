/**
 * The commands that list one section of the configuration: `profile list`, `assignment list` and
 * `quota list`.
 */
import type { ResultAsync } from "neverthrow";
import type { ConfigDocument } from "../protocol/config/ConfigDocument.ts";
import { API_FLAGS, ApiClient } from "./ApiClient.ts";
import {
  Command,
  getTextFlag,
  type CommandFailure,
  type CommandInput,
  type CommandOutput,
} from "./Command.ts";
import { readConfig } from "./ConfigReader.ts";
import { render } from "./render.ts";

/** Name of a list command and the rows that it shows. */
export interface ConfigListing {
  readonly words: string;
  readonly summary: string;
  /** Returns the rows of the table. */
  readonly select: (document: ConfigDocument) => readonly Readonly<Record<string, unknown>>[];
}

/** Lists one section of the configuration. */
export class ConfigListCommand extends Command {
  override readonly words: string;
  override readonly usage = "[--revision REVISION]";
  override readonly summary: string;
  override readonly flags = {
    revision: { type: "string", value: "REVISION", help: "Revision to list; default: the newest" },
    ...API_FLAGS,
  } as const;
  private readonly _listing: ConfigListing;

  /**
   * Creates the command.
   * @param listing - Name of the command and the rows that it shows.
   */
  constructor(listing: ConfigListing) {
    super();
    this._listing = listing;
    this.words = listing.words;
    this.summary = listing.summary;
  }

  override run(input: CommandInput): ResultAsync<CommandOutput, CommandFailure> {
    const config = readConfig(ApiClient.fromInput(input), getTextFlag(input, "revision"));
    return config.map(({ revision, document }) => {
      const rows = this._listing.select(document);
      return { json: { revision, rows }, lines: [`revision ${revision}`, ...render(rows)] };
    });
  }
}
