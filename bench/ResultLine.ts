/**
 * One line of a result file: a figure with what it was measured by and on.
 */
import type { Measurement } from "./Bench.ts";

/** Machine that a figure was measured on. */
export interface Machine {
  readonly processors: number;
  readonly processorModel: string;
  readonly memoryBytes: number;
  readonly platform: string;
  readonly node: string;
}

/** A figure with its origin. */
export interface ResultLine extends Measurement {
  readonly bench: string;
  readonly title: string;
  /** Commit of the sources; ends in "+changes" where they differ from it. */
  readonly commit: string;
  readonly seed: number;
  readonly scale: number;
  readonly machine: Machine;
  /** When the figure was recorded, as ISO 8601 text. */
  readonly at: string;
}

/**
 * Reads the lines of a result file.
 * @param text - Text of the file.
 */
export function parseResults(text: string): readonly ResultLine[] {
  return text
    .split("\n")
    .filter((line) => line !== "")
    .map((line) => JSON.parse(line) as ResultLine);
}
