/**
 * The commands `explain request`, `explain job` and `explain vm`.
 */
import type { CommandInput } from "./Command.ts";
import { ReadCommand } from "./ReadCommand.ts";

/** Subjects of the explain commands. */
export type ExplainSubject = "request" | "job" | "vm";

const SUMMARIES: Readonly<Record<ExplainSubject, string>> = {
  request: "Explain why a request was routed to its backend server or was refused",
  job: "Explain why a job's tasks run, wait or were evicted",
  vm: "Explain what a VM runs, what it has committed, and why it gets work or none",
};

/** Shows the decisions about one request, job or VM with their reasons. */
export class ExplainCommand extends ReadCommand {
  override readonly words: string;
  override readonly usage: string;
  override readonly summary: string;
  override readonly argCount = [1, 1] as const;
  protected override readonly tryAllEntries = true;
  private readonly _subject: ExplainSubject;

  /**
   * Creates the command.
   * @param subject - Kind of subject to explain.
   */
  constructor(subject: ExplainSubject) {
    super();
    this._subject = subject;
    this.words = `explain ${subject}`;
    this.usage = subject === "vm" ? "NAME" : "ID";
    this.summary = SUMMARIES[subject];
  }

  protected override getPath(input: CommandInput): string {
    return `/v1/explain/${this._subject}/${encodeURIComponent(input.args[0] ?? "")}`;
  }
}
