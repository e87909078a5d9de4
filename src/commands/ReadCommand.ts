/**
 * Base of the commands that show the response to one GET call of the operator API.
 */
import type { ResultAsync } from "neverthrow";
import { API_FLAGS, ApiClient } from "./ApiClient.ts";
import {
  Command,
  type CommandFailure,
  type CommandInput,
  type CommandOutput,
  type FlagSpecs,
} from "./Command.ts";
import { render } from "./render.ts";

/** Shows the response to one GET call. */
export abstract class ReadCommand extends Command {
  override readonly flags: FlagSpecs = API_FLAGS;

  /** Whether each entry holds a part of the data, so that after a 404 the next one is tried. */
  protected readonly tryAllEntries: boolean = false;

  override run(input: CommandInput): ResultAsync<CommandOutput, CommandFailure> {
    return ApiClient.fromInput(input)
      .read(this.getPath(input), this.tryAllEntries)
      .map((body) => ({ json: body, lines: this.format(body) }));
  }

  /** Returns the path to read. */
  protected abstract getPath(input: CommandInput): string;

  /** Formats the response as lines for people. */
  protected format(body: unknown): readonly string[] {
    return render(body);
  }
}
