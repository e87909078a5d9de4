/**
 * Commands of tasks of the worker stand-in: "run 2000", "fail", "fail-after 100" or "crash-worker",
 * each optionally with "processors=1500" and "memory=1000000" for the actual usage of the task.
 */
import type { Resources } from "../../src/protocol/Resources.ts";

/** Parsed command of a task. */
export interface TaskCommand {
  /** How the task ends after its work. */
  readonly end: "complete" | "fail" | "crash-worker";
  /** Work at full speed, in milliseconds. */
  readonly workMs: number;
  /** Processors that the task uses at full speed; undefined for the declared amount. */
  readonly processorsMilli: number | undefined;
  /** Memory that the task uses; undefined for the declared amount. */
  readonly memoryBytes: number | undefined;
}

/**
 * Parses a command; a text that is not a command becomes a task that fails immediately.
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
 * Gets the usage of a task.
 * @param command - Command of the task.
 * @param declared - Resources that the task declared.
 * @param throttlePercent - Percentage of its processors that the task may use.
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
