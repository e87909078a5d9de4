/**
 * Random numbers of the JavaScript engine.
 */
import { RandomSource } from "../../protocol/platform/RandomSource.ts";

/** Random source based on `Math.random`. */
export class SystemRandom extends RandomSource {
  override next(): number {
    return Math.random();
  }
}
