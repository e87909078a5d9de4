/**
 * Corrects declared resources and run times by the usage of finished tasks of the same kind.
 * Declared resources are far off in both directions, so the correction tracks the ratio of used to
 * declared amounts for each kind of job.
 */
import type { Resources } from "../../protocol/Resources.ts";

/** Number of finished tasks of a kind from which its correction applies. */
const MIN_SAMPLES = 8;
const MAX_SAMPLES = 64;
const MAX_KINDS = 4_096;
/** Share of the tasks whose usage the corrected resources cover. */
const COVERED_QUANTILE = 0.95;
const SAFETY_FACTOR = 1.1;
const MIN_RATIO = 0.25;
const MAX_RATIO = 4;

/** Declared and used resources of one finished task. */
export interface UsageSample {
  readonly kind: string;
  readonly declared: Resources;
  /** Peak usage. */
  readonly used: Resources;
  /** Declared run time in milliseconds; 0 if none was declared. */
  readonly declaredRunMs: number;
  readonly ranMs: number;
}

interface KindRatios {
  readonly processors: readonly number[];
  readonly memory: readonly number[];
  readonly runTime: readonly number[];
}

/** Corrects declared resources and run times by kind of job. */
export class SizeCorrector {
  private readonly _kinds = new Map<string, KindRatios>();

  /**
   * Records the usage of a finished task.
   * @param sample - Its declared and used resources.
   */
  record(sample: UsageSample): void {
    const { kind, declared, used } = sample;
    const known = this._kinds.get(kind) ?? { processors: [], memory: [], runTime: [] };
    this._kinds.delete(kind);
    this._kinds.set(kind, {
      processors: append(known.processors, used.processorsMilli, declared.processorsMilli),
      memory: append(known.memory, used.memoryBytes, declared.memoryBytes),
      runTime: append(known.runTime, sample.ranMs, sample.declaredRunMs),
    });
    const [oldest] = this._kinds.keys();
    if (oldest !== undefined && this._kinds.size > MAX_KINDS) {
      this._kinds.delete(oldest);
    }
  }

  /**
   * Gets the resources to commit for a task; accelerators stay as declared.
   * @param kind - Kind of job.
   * @param declared - Declared resources.
   */
  getSize(kind: string, declared: Resources): Resources {
    const ratios = this._kinds.get(kind);
    return ratios === undefined
      ? declared
      : {
          processorsMilli: Math.round(declared.processorsMilli * getRatio(ratios.processors)),
          memoryBytes: Math.round(declared.memoryBytes * getRatio(ratios.memory)),
          accelerators: declared.accelerators,
        };
  }

  /**
   * Gets the expected run time of a task, in milliseconds.
   * @param kind - Kind of job.
   * @param declaredMs - Declared run time in milliseconds.
   */
  getRunMs(kind: string, declaredMs: number): number {
    return declaredMs * getRatio(this._kinds.get(kind)?.runTime ?? []);
  }
}

function append(ratios: readonly number[], used: number, declared: number): readonly number[] {
  return declared > 0 ? [...ratios, used / declared].slice(-MAX_SAMPLES) : ratios;
}

function getRatio(ratios: readonly number[]): number {
  if (ratios.length < MIN_SAMPLES) {
    return 1;
  }
  const sorted = ratios.toSorted((a, b) => a - b);
  const quantile = sorted[Math.ceil(sorted.length * COVERED_QUANTILE) - 1] ?? 1;
  return Math.min(MAX_RATIO, Math.max(MIN_RATIO, quantile * SAFETY_FACTOR));
}
