/**
 * The command line: finds the command that the arguments name, parses its flags with meow, runs it
 * and prints its output or failure.
 */
import meow from "meow";
import { errAsync, ResultAsync } from "neverthrow";
import type { Command, CommandFailure, CommandInput, CommandOutput, FlagSpec } from "./Command.ts";
import { EXIT_CODE_MEANINGS, ExitCode, type ExitCodeValue } from "./ExitCode.ts";
import { usageFailure } from "./failures.ts";

const PROGRAM = "fireflylb";
const FLAG_COLUMN = 28;

const COMMON_FLAGS: Readonly<Record<string, FlagSpec>> = {
  json: { type: "boolean", help: "Print JSON for scripts" },
  help: { type: "boolean", help: "Print this help" },
};

/** Output streams of the command line. */
export interface CommandWriter {
  readonly writeOut: (line: string) => void;
  readonly writeErr: (line: string) => void;
}

/** Runs commands of the program. */
export class CommandLine {
  private readonly _commands: readonly Command[];
  private readonly _writer: CommandWriter;

  /**
   * Creates the command line.
   * @param commands - All commands, in the order of the help.
   * @param writer - Output streams.
   */
  constructor(commands: readonly Command[], writer: CommandWriter) {
    this._commands = commands;
    this._writer = writer;
  }

  /**
   * Runs the command that the arguments name.
   * @param argv - Arguments of the program.
   * @returns The exit code.
   */
  async run(argv: readonly string[]): Promise<ExitCodeValue> {
    if (argv[0] === "--version") {
      return this.run(["version", ...argv.slice(1)]);
    }
    const command = this._commands.find((candidate) => matchesCommand(candidate, argv));
    if (command === undefined) {
      return this._runWithoutCommand(argv);
    }
    const rest = argv.slice(command.words.split(" ").length);
    const input = parseInput(command, rest);
    if (input === undefined) {
      return this._printFailure(command, false, usageFailure("a flag is given twice"));
    }
    if (input.flags.help === true) {
      this._writer.writeOut(formatHelp(command));
      return ExitCode.done;
    }
    const json = input.flags.json === true;
    const result = await validateAndRun(command, input);
    return result.match(
      (output) => this._printOutput(json, output),
      (failure) => this._printFailure(command, json, failure),
    );
  }

  private _runWithoutCommand(argv: readonly string[]): ExitCodeValue {
    const [first] = argv;
    if (first === "--help" || first === "help") {
      this._writer.writeOut(formatOverview(this._commands));
      return ExitCode.done;
    }
    const group = this._commands.filter((command) => command.words.split(" ")[0] === first);
    if (group.length > 0 && argv[1] === "--help") {
      this._writer.writeOut(formatOverview(group));
      return ExitCode.done;
    }
    this._writer.writeErr(
      argv.length === 0 ? "no command given" : `unknown command: ${argv.join(" ")}`,
    );
    this._writer.writeErr(formatOverview(group.length > 0 ? group : this._commands));
    return ExitCode.usage;
  }

  private _printOutput(json: boolean, output: CommandOutput): ExitCodeValue {
    const lines = json ? [JSON.stringify(output.json)] : output.lines;
    lines.forEach((line) => {
      this._writer.writeOut(line);
    });
    return ExitCode.done;
  }

  private _printFailure(command: Command, json: boolean, failure: CommandFailure): ExitCodeValue {
    if (json) {
      const { code, lines, json: values } = failure;
      const body = { code, detail: lines.join("\n"), ...(values === undefined ? {} : { values }) };
      this._writer.writeOut(JSON.stringify(body));
      return failure.exitCode;
    }
    failure.lines.forEach((line) => {
      this._writer.writeErr(`${PROGRAM}: ${failure.code}: ${line}`);
    });
    if (failure.exitCode === ExitCode.usage) {
      this._writer.writeErr(`usage: ${formatUsage(command)}`);
    }
    return failure.exitCode;
  }
}

function matchesCommand(command: Command, argv: readonly string[]): boolean {
  return command.words.split(" ").every((word, i) => argv[i] === word);
}

/** Parses arguments and flags; returns undefined where a flag is given twice. */
function parseInput(command: Command, argv: readonly string[]): CommandInput | undefined {
  const specs = Object.entries({ ...command.flags, ...COMMON_FLAGS });
  try {
    const { input, flags } = meow(formatHelp(command), {
      importMeta: { url: "file:///fireflylb" } as ImportMeta,
      pkg: { name: PROGRAM, bin: PROGRAM },
      argv,
      flags: Object.fromEntries(specs.map(([name, { type }]) => [name, { type }])),
      allowUnknownFlags: false,
      autoHelp: false,
      autoVersion: false,
      booleanDefault: undefined,
    });
    return { args: input, flags: flags as CommandInput["flags"] };
  } catch {
    return undefined;
  }
}

function validateAndRun(
  command: Command,
  input: CommandInput,
): ResultAsync<CommandOutput, CommandFailure> {
  const [fewest, most] = command.argCount;
  if (input.args.length < fewest) {
    return errAsync(usageFailure("an argument is missing"));
  }
  if (input.args.length > most) {
    return errAsync(usageFailure(`unexpected argument: ${input.args[most] ?? ""}`));
  }
  const empty = Object.keys(command.flags).find((name) => input.flags[name] === "");
  return empty === undefined
    ? command.run(input)
    : errAsync(usageFailure(`${formatFlagName(empty)} needs a value`));
}

function formatUsage(command: Command): string {
  return [PROGRAM, command.words, command.usage].filter((part) => part !== "").join(" ");
}

function formatFlagName(name: string): string {
  return `--${name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`)}`;
}

function formatFlag([name, spec]: readonly [string, FlagSpec]): string {
  const call = [formatFlagName(name), spec.value ?? ""].join(" ").trimEnd();
  return `  ${call.padEnd(FLAG_COLUMN)}  ${spec.help}`;
}

/**
 * Formats the help of a command.
 * @param command - The command.
 */
export function formatHelp(command: Command): string {
  const flags = Object.entries({ ...command.flags, ...COMMON_FLAGS });
  const details = command.details.length > 0 ? ["", ...command.details] : [];
  return [
    `Usage: ${formatUsage(command)}`,
    "",
    `${command.summary}.`,
    ...details,
    "",
    "Flags:",
    ...flags.map(formatFlag),
  ].join("\n");
}

function formatOverview(commands: readonly Command[]): string {
  const names = commands.map((command) => `${PROGRAM} ${command.words}`);
  const width = Math.max(...names.map((name) => name.length));
  const codes = Object.entries(EXIT_CODE_MEANINGS).map(
    ([name, meaning]) => `  ${ExitCode[name as keyof typeof ExitCode]}  ${meaning}`,
  );
  return [
    "Commands:",
    ...commands.map((command, i) => `  ${(names[i] ?? "").padEnd(width)}  ${command.summary}`),
    "",
    "Every command accepts --help, which shows its arguments, and --json.",
    "",
    "Exit codes:",
    ...codes,
  ].join("\n");
}
