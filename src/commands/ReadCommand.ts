/**
 * Commands that show what one path of the operators' interface gives.
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

/** Shows the answer to one read. */
export abstract class ReadCommand extends Command {
  override readonly flags: FlagSpecs = API_FLAGS;

  /** Whether each entry knows only its own part, so that the next one is asked too. */
  protected readonly tryAllEntries: boolean = false;

  override run(input: CommandInput): ResultAsync<CommandOutput, CommandFailure> {
    return ApiClient.fromInput(input)
      .read(this.getPath(input), this.tryAllEntries)
      .map((body) => ({ json: body, lines: this.format(body) }));
  }

  /** Gives the path to read. */
  protected abstract getPath(input: CommandInput): string;

  /** Gives the lines for people. */
  protected format(body: unknown): readonly string[] {
    return render(body);
  }
}
