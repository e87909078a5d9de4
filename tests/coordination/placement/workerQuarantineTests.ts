/**
 * Tests of the quarantine of workers whose tasks fail.
 */
import test from "ava";
import { WorkerQuarantine } from "../../../src/coordination/placement/WorkerQuarantine.ts";

const AGENTS = ["agent-0", "agent-1", "agent-2", "agent-3"];
const QUARANTINE_MS = 10_000;
const RESERVE_DELAY_MS = 1_000;

/** Creates a quarantine in which the first agent's worker has just been quarantined at 0 ms. */
function createQuarantine(): WorkerQuarantine {
  const quarantine = new WorkerQuarantine();
  Array.from({ length: 20 }).forEach(() => {
    quarantine.record({ agent: "agent-1", kind: "kind", outcome: "completed", now: 0 });
  });
  const changes = Array.from({ length: 4 }, () =>
    quarantine.record({ agent: "agent-0", kind: "kind", outcome: "failed", now: 0 }),
  );
  if (changes.at(-1) !== "quarantined") {
    throw new Error(`the worker is not quarantined: ${changes.join(", ")}`);
  }
  return quarantine;
}

// Guards against a sound worker that stays closed for a minute because its probe was stopped.
test("WorkerQuarantine allows another probe after one that ended without a result", (t) => {
  const quarantine = createQuarantine();
  const now = QUARANTINE_MS;
  t.is(quarantine.getAdmissions(AGENTS, now).get("agent-0"), "probe");
  quarantine.recordProbe("agent-0", now, "run 1");
  t.is(quarantine.getAdmissions(AGENTS, now).get("agent-0"), "closed");
  quarantine.releaseProbe("agent-0", "run 0");
  t.is(quarantine.getAdmissions(AGENTS, now).get("agent-0"), "closed");
  quarantine.releaseProbe("agent-0", "run 1");
  t.is(quarantine.getAdmissions(AGENTS, now).get("agent-0"), "probe");
});

test("WorkerQuarantine releases a worker whose probe succeeds and closes one whose probe fails", (t) => {
  const succeeded = createQuarantine();
  succeeded.recordProbe("agent-0", QUARANTINE_MS, "run 1");
  const result = { agent: "agent-0", kind: "kind", now: QUARANTINE_MS } as const;
  t.is(succeeded.record({ ...result, outcome: "completed" }), "released");
  t.is(succeeded.getAdmissions(AGENTS, QUARANTINE_MS).get("agent-0"), undefined);
  const failed = createQuarantine();
  failed.recordProbe("agent-0", QUARANTINE_MS, "run 1");
  t.is(failed.record({ ...result, outcome: "failed" }), "none");
  const twiceAsLong = QUARANTINE_MS + 2 * QUARANTINE_MS;
  t.is(failed.getAdmissions(AGENTS, twiceAsLong - 1).get("agent-0"), "reserve");
  t.is(failed.getAdmissions(AGENTS, twiceAsLong).get("agent-0"), "probe");
});

test("WorkerQuarantine offers a worker as a reserve soon after its last failure, one task at a time", (t) => {
  const quarantine = createQuarantine();
  const getAdmission = (now: number) => quarantine.getAdmissions(AGENTS, now).get("agent-0");
  t.is(getAdmission(RESERVE_DELAY_MS - 1), "closed");
  t.is(getAdmission(RESERVE_DELAY_MS), "reserve");
  quarantine.recordProbe("agent-0", RESERVE_DELAY_MS, "run 1");
  t.is(getAdmission(RESERVE_DELAY_MS), "closed");
  const failure = { agent: "agent-0", kind: "kind", outcome: "failed" } as const;
  quarantine.record({ ...failure, now: RESERVE_DELAY_MS });
  t.is(getAdmission(2 * RESERVE_DELAY_MS), "reserve");
  t.is(getAdmission(QUARANTINE_MS), "probe", "a failure of a reserve prolonged the quarantine");
});

// Guards against a worker that fails each long-running task after it has begun to work, and is never
// quarantined for long.
test("WorkerQuarantine releases a worker with a probe at work on probation only", (t) => {
  const quarantine = createQuarantine();
  const attempt = { agent: "agent-0", kind: "kind" } as const;
  const now = QUARANTINE_MS;
  quarantine.recordProbe("agent-0", now, "run 1");
  t.is(quarantine.recordWork({ ...attempt, probe: "run 0" }), "none");
  t.is(quarantine.recordWork({ ...attempt, probe: "run 1" }), "released");
  t.is(quarantine.getAdmissions(AGENTS, now).get("agent-0"), undefined);
  t.is(quarantine.record({ ...attempt, outcome: "failed", now }), "quarantined");
  const getAdmission = (time: number) => quarantine.getAdmissions(AGENTS, time).get("agent-0");
  t.is(getAdmission(now + 2 * QUARANTINE_MS - 1), "reserve");
  t.is(getAdmission(now + 2 * QUARANTINE_MS), "probe");
});

test("WorkerQuarantine keeps the failures of a worker on which other attempts are at work", (t) => {
  const quarantine = new WorkerQuarantine();
  const attempt = { agent: "agent-0", kind: "kind" } as const;
  const changes = Array.from({ length: 8 }, (_, number) => {
    quarantine.recordWork({ ...attempt, probe: `run ${number}` });
    quarantine.recordWork({ agent: "agent-1", kind: "kind", probe: `run ${number}` });
    return quarantine.record({ ...attempt, outcome: "failed", now: 0 });
  });
  t.true(changes.includes("quarantined"));
});
