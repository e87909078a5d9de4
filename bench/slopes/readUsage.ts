/**
 * Reads the processor time and memory of a process from its metrics.
 */
import { request } from "undici";

/** Usage of a process since its start. */
export interface ProcessUsage {
  readonly cpuSeconds: number;
  readonly memoryBytes: number;
}

/**
 * Reads the usage of a process.
 * @param address - Address of its operator API as host:port.
 */
export async function readUsage(address: string): Promise<ProcessUsage> {
  const res = await request(`http://${address}/metrics`);
  const text = await res.body.text();
  return {
    cpuSeconds: readValue(text, "process_cpu_seconds_total"),
    memoryBytes: readValue(text, "process_resident_memory_bytes"),
  };
}

function readValue(text: string, name: string): number {
  const line = text.split("\n").find((candidate) => candidate.startsWith(`${name} `));
  return Number(line?.split(" ")[1]);
}
