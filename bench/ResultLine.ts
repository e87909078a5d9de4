/**
 * One line of a result file: a measurement with its benchmark, commit and machine.
 */
import type { Measurement } from "./Bench.ts";

/** Machine on which a measurement was taken. */
export interface Machine {
  readonly processors: number;
  readonly processorModel: string;
  readonly memoryBytes: number;
  readonly platform: string;
  readonly node: string;
}

/** A measurement with its origin. */
export interface ResultLine extends Measurement {
  readonly bench: string;
  readonly title: string;
  /** Commit of the sources, with the suffix "+changes" if the work tree has uncommitted changes. */
  readonly commit: string;
  readonly seed: number;
  readonly scale: number;
  readonly machine: Machine;
  /** When the measurement was recorded, in ISO 8601 format. */
  readonly at: string;
}

/**
 * Parses the lines of a result file.
 * @param text - Content of the file.
 */
export function parseResults(text: string): readonly ResultLine[] {
  return text
    .split("\n")
    .filter((line) => line !== "")
    .map((line) => JSON.parse(line) as ResultLine);
}
