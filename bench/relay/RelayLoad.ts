/**
 * Closed-loop load on one address: a fixed number of callers, each of which sends its next request
 * when the response to the previous one has arrived.
 */
import type { Histogram } from "hdr-histogram-js";
import { Pool } from "undici";
import { createHistogram } from "../requests/createHistogram.ts";

const US_PER_MS = 1_000;
const MS_PER_SECOND = 1_000;
const BODY = "x".repeat(256);

/** Result of one load run. */
export interface RelayResult {
  readonly latencyUs: Histogram;
  /** Responses per second. */
  readonly throughput: number;
  readonly failures: number;
}

/**
 * Sends requests to an address.
 * @param address - Address as host:port.
 * @param callers - Number of callers.
 * @param durationMs - Duration in milliseconds.
 */
export async function runRelayLoad(
  address: string,
  callers: number,
  durationMs: number,
): Promise<RelayResult> {
  const pool = new Pool(`http://${address}`, { connections: callers, pipelining: 1 });
  const latencyUs = createHistogram();
  let failures = 0;
  const startedAt = performance.now();
  const call = async (): Promise<void> => {
    const sentAt = performance.now();
    const res = await pool.request({
      path: "/check",
      method: "POST",
      headers: { "fireflylb-service": "rota-desk" },
      body: BODY,
    });
    await res.body.dump();
    failures += res.statusCode === 200 ? 0 : 1;
    latencyUs.recordValue(Math.round((performance.now() - sentAt) * US_PER_MS));
  };
  const loop = async (): Promise<void> => {
    while (performance.now() - startedAt < durationMs) {
      await call();
    }
  };
  await Promise.all(Array.from({ length: callers }, loop));
  const seconds = (performance.now() - startedAt) / MS_PER_SECOND;
  await pool.close();
  return { latencyUs, throughput: latencyUs.totalCount / seconds, failures };
}
