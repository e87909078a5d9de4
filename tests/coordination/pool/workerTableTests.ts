/**
 * Tests of how long leases of workers count as valid.
 */
import test from "ava";
import type { WorkerReport } from "../../../src/coordination/pool/AgentChannel.ts";
import {
  getLeaseExpiryWaitMs,
  MAX_CLOCK_DRIFT,
} from "../../../src/coordination/pool/PoolTimings.ts";
import { WorkerTable, type WorkerState } from "../../../src/coordination/pool/WorkerTable.ts";
import { createWorkerReport, POOL } from "../../support/poolFixtures.ts";
import { TIMINGS } from "./simulatedPool.ts";

const AGENT = "agent-1";
const NOW = 20_000;
const LEASE_WAIT_MS = getLeaseExpiryWaitMs(TIMINGS.workerLeaseMs);
/** Age of a reading by which all leases have ended, if the agent's clock runs fast. */
const ENDED_AGE_MS = LEASE_WAIT_MS / (1 - MAX_CLOCK_DRIFT);

/** Returns the worker after its first report to a scheduler that has just taken over. */
function reportFirst(overrides: Partial<WorkerReport>): WorkerState | undefined {
  const table = new WorkerTable(POOL, TIMINGS);
  table.setAgent(AGENT, { address: AGENT, zone: "zone-a", pool: POOL, process: "p-1" });
  const worker = createWorkerReport({ answers: false, clockMs: 0, ...overrides });
  table.applyReport(
    AGENT,
    { process: "p-1", version: 1, worker, formerEnds: [], crashes: [] },
    NOW,
  );
  table.grantLease(AGENT);
  return table.getWorker(AGENT);
}

// Guards against runs that wait for the leases of a worker that was lost long ago.
test("WorkerTable treats leases as ended once their agent has received no reading for their time", (t) => {
  const expireBy = reportFirst({ readingAgeMs: ENDED_AGE_MS + 1 })?.leasesExpireBy;
  t.true(expireBy !== undefined && expireBy <= NOW);
});

// Guards against a second run of a task beside one whose lease is still valid.
test("WorkerTable treats leases as valid while their agent may have forwarded one", (t) => {
  t.is(reportFirst({ readingAgeMs: ENDED_AGE_MS - 1 })?.leasesExpireBy, NOW + LEASE_WAIT_MS);
  // An agent that restarted knows no reading.
  t.is(reportFirst({ readingAgeMs: 0 })?.leasesExpireBy, NOW + LEASE_WAIT_MS);
});

// Guards against tasks that run twice: an agent that restarts may first hear a late announcement of
// a former incarnation, while the present one has runs and a lease.
test("WorkerTable keeps a worker whose leases are valid although an earlier incarnation is reported", (t) => {
  const table = new WorkerTable(POOL, TIMINGS);
  const apply = (worker: string, at: number) =>
    table.applyReport(
      AGENT,
      {
        process: "p-1",
        version: 1,
        worker: createWorkerReport({ worker }),
        formerEnds: [],
        crashes: [],
      },
      at,
    );
  apply("i-1@2", NOW);
  table.grantLease(AGENT);
  t.is(apply("i-1@1", NOW + LEASE_WAIT_MS - 1).replacedWorker, undefined);
  t.is(table.getWorker(AGENT)?.report.worker, "i-1@2");
  t.is(apply("i-1@1", NOW + LEASE_WAIT_MS).replacedWorker, "i-1@2");
  t.is(apply("i-1@3", NOW + LEASE_WAIT_MS + 1).replacedWorker, "i-1@1");
});
