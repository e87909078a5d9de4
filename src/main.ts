/**
 * Entry point of the program.
 */
import { CommandLine } from "./commands/CommandLine.ts";
import { COMMANDS } from "./commands/commands.ts";
import { ExitCode } from "./commands/ExitCode.ts";

const line = new CommandLine(COMMANDS, {
  writeOut: (text) => process.stdout.write(`${text}\n`),
  writeErr: (text) => process.stderr.write(`${text}\n`),
});

line.run(process.argv.slice(2)).then(
  (code) => process.exit(code),
  (cause: unknown) => {
    console.error(cause);
    process.exit(ExitCode.fault);
  },
);
