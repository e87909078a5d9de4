/**
 * Random numbers of this machine.
 */
import { RandomSource } from "../../protocol/platform/RandomSource.ts";

/** Random numbers of the JavaScript engine. */
export class SystemRandom extends RandomSource {
  override next(): number {
    return Math.random();
  }
}
