/**
 * Commands of tasks as the worker stand-in understands them: "run 2000", "fail", "fail-after 100"
 * or "crash-worker", each with options such as "processors=1500" and "memory=1000000" for what
 * the task really uses.
 */
import type { Resources } from "../../src/protocol/Resources.ts";

/** What a task does. */
export interface TaskCommand {
  /** How the task ends after its work. */
  readonly end: "complete" | "fail" | "crash-worker";
  /** Work at full speed, in milliseconds. */
  readonly workMs: number;
  /** Processors that the task uses at full speed; undefined for what it declared. */
  readonly processorsMilli: number | undefined;
  /** Memory that the task uses; undefined for what it declared. */
  readonly memoryBytes: number | undefined;
}

/**
 * Reads a command; a text that is no command fails at once.
 * @param text - Text of the command.
 */
export function parseCommand(text: string): TaskCommand {
  const words = text.split(" ").filter((word) => word !== "");
  const workMs = Number(words[1] ?? 0);
  const usage = {
    processorsMilli: getOption(words, "processors"),
    memoryBytes: getOption(words, "memory"),
  };
  switch (words[0]) {
    case "run":
      return { end: "complete", workMs, ...usage };
    case "fail-after":
      return { end: "fail", workMs, ...usage };
    case "crash-worker":
      return { end: "crash-worker", workMs: 0, ...usage };
    default:
      return { end: "fail", workMs: 0, ...usage };
  }
}

/**
 * Gives what a task uses.
 * @param command - Its command.
 * @param declared - What it declared.
 * @param throttlePercent - Share of its processors that it may use.
 */
export function getUsage(
  command: TaskCommand,
  declared: Resources,
  throttlePercent: number,
): Resources {
  const processorsMilli = command.processorsMilli ?? declared.processorsMilli;
  return {
    processorsMilli: Math.round((processorsMilli * throttlePercent) / 100),
    memoryBytes: command.memoryBytes ?? declared.memoryBytes,
    accelerators: declared.accelerators,
  };
}

function getOption(words: readonly string[], name: string): number | undefined {
  const word = words.find((candidate) => candidate.startsWith(`${name}=`));
  return word === undefined ? undefined : Number(word.slice(name.length + 1));
}
