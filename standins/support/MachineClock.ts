/**
 * Clock whose time is the same in all processes of the machine, so that the times in their journals
 * can be compared.
 */
import { SystemClock } from "../../src/transport/platform/SystemClock.ts";

const NANOSECONDS_PER_MS = 1e6;

/** Monotonic clock of the machine. */
export class MachineClock extends SystemClock {
  override now(): number {
    return Number(process.hrtime.bigint()) / NANOSECONDS_PER_MS;
  }
}
