/**
 * Runs operator commands with the built binary and prints them as an operator would type them.
 */
import { spawn } from "node:child_process";
import { once } from "node:events";
import { waitUntil } from "../../standins/cluster/waitUntil.ts";

/** Exit codes of a command whose outcome is unknown, and of one that no entry could serve. */
const RETRYABLE_STATUSES: readonly number[] = [5, 6];
const RETRY_TIMEOUT_MS = 30_000;

/** Exit code and output of a command. */
export interface CommandResult {
  readonly status: number;
  readonly output: string;
}

/** Operator commands of the demo. */
export class DemoCommands {
  private readonly _binary: string;
  private readonly _api: string;

  /**
   * Creates the commands.
   * @param binary - Path of the binary.
   * @param api - Operator API addresses of the entries, separated by commas.
   */
  constructor(binary: string, api: string) {
    this._binary = binary;
    this._api = api;
  }

  /**
   * Prints and runs a command, and throws if it fails.
   * @param args - Arguments of the command.
   */
  async run(...args: readonly string[]): Promise<string> {
    console.log(`$ fireflylb ${args.map(quote).join(" ")}`);
    return getOutput(args, await this.execute(...args));
  }

  /**
   * Prints and runs an idempotent command, and retries it until its outcome is known.
   * @param args - Arguments of the command.
   */
  async runWithRetries(...args: readonly string[]): Promise<string> {
    console.log(`$ fireflylb ${args.map(quote).join(" ")}`);
    let result: CommandResult = { status: 1, output: "" };
    await waitUntil(`fireflylb ${args.join(" ")} is served`, RETRY_TIMEOUT_MS, async () => {
      result = await this.execute(...args);
      return !RETRYABLE_STATUSES.includes(result.status);
    });
    return getOutput(args, result);
  }

  /**
   * Runs a command without printing it.
   * @param args - Arguments of the command.
   */
  async execute(...args: readonly string[]): Promise<CommandResult> {
    const child = spawn(this._binary, [...args, "--api", this._api], {
      stdio: ["ignore", "pipe", "pipe"],
    });
    const outputs = [child.stdout, child.stderr].map(async (stream) => {
      const chunks = (await stream.toArray()) as readonly Buffer[];
      return Buffer.concat(chunks).toString();
    });
    const [status] = (await once(child, "close")) as [number | null];
    return { status: status ?? 1, output: (await Promise.all(outputs)).join("") };
  }
}

function getOutput(args: readonly string[], result: CommandResult): string {
  if (result.status !== 0) {
    throw new Error(`fireflylb ${args.join(" ")}: status ${result.status}\n${result.output}`);
  }
  return result.output;
}

function quote(arg: string): string {
  return arg.includes(" ") ? `"${arg}"` : arg;
}
