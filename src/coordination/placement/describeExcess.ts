/**
 * Describes a resource request that exceeds a limit.
 */
import type { Resources } from "../../protocol/Resources.ts";

const MILLI_PER_CORE = 1_000;
const BYTES_PER_MIB = 2 ** 20;

/**
 * Describes the first resource of a request that exceeds its limit.
 * @param wanted - The requested resources.
 * @param limit - The limit.
 */
export function describeExcess(wanted: Resources, limit: Resources): string {
  if (wanted.processorsMilli > limit.processorsMilli) {
    const cores = wanted.processorsMilli / MILLI_PER_CORE;
    return `${cores} processors, the limit is ${limit.processorsMilli / MILLI_PER_CORE}`;
  }
  if (wanted.memoryBytes > limit.memoryBytes) {
    const mebibytes = Math.ceil(wanted.memoryBytes / BYTES_PER_MIB);
    return `${mebibytes} MiB of memory, the limit is ${Math.floor(limit.memoryBytes / BYTES_PER_MIB)}`;
  }
  return `${wanted.accelerators} accelerators, the limit is ${limit.accelerators}`;
}
