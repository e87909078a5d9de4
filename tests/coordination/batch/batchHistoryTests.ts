import test, { type ExecutionContext } from "ava";
import fc from "fast-check";
import { getTaskId } from "../../../src/state/batch/BatchIds.ts";
import { PartitionSimulation } from "./PartitionSimulation.ts";
import { OPERATION_KINDS, type Operation, type OperationKind } from "./operations.ts";

const SEED = 20_261_203;
const RUNS = Number(process.env.FIREFLYLB_RUNS ?? 150);

/** Operations that are drawn more often than others, so that most histories make progress. */
const FREQUENT: readonly OperationKind[] = [
  "take-over",
  "take-over",
  "submit",
  "submit",
  "resume",
  "store-back",
  "thaw",
  "reconnect",
  "advance",
  "learn-owner",
];

const operation: fc.Arbitrary<Operation> = fc.record({
  kind: fc.constantFrom(...OPERATION_KINDS, ...FREQUENT),
  entry: fc.nat(2),
  agent: fc.nat(2),
  pick: fc.nat(99),
});

/** Finds violations in a finished simulation. */
function findFaults(simulation: PartitionSimulation): readonly string[] {
  const { owner, agents } = simulation;
  const attempts = agents.history.map((run) => `${run.task}#${run.attempt}`);
  const doubled = attempts.filter((attempt, index) => attempts.indexOf(attempt) !== index);
  const lost = [...simulation.accepted].filter((id) => owner?.ledger.getJob(id) === undefined);
  const open = [...simulation.accepted].filter((id) => owner?.ledger.isFinished(id) !== true);
  // A start recorded before the cancellation may reach its agent after it, but must not keep
  // running.
  const restarted = [...simulation.cancelled].flatMap(([id, attempts]) =>
    agents.history.filter((run) =>
      attempts.some((attempt, index) => run.task === getTaskId(id, index) && run.attempt > attempt),
    ),
  );
  const running = agents
    .getRunning()
    .filter((run) => simulation.cancelled.has(run.task.slice(0, -2)));
  const resumedWrong = agents.history.filter((run) => {
    const before = agents.history.findLast(
      (other) => other.task === run.task && other.attempt < run.attempt,
    );
    const wanted = before?.checkpoint ?? "";
    // The last checkpoint may be lost with a VM that was replaced or stopped reporting.
    return (
      before?.phase === "stopped" &&
      !before.isLost &&
      run.startCheckpoint !== wanted &&
      run.startCheckpoint !== before.startCheckpoint
    );
  });
  const repeated = agents.history.filter((run) => {
    const after = agents.history.find(
      (other) => other.task === run.task && other.attempt > run.attempt,
    );
    return (
      run.phase === "completed" &&
      !run.isLost &&
      after !== undefined &&
      wasRecorded(simulation, run)
    );
  });
  return [
    ...agents.violations,
    ...doubled.map((attempt) => `attempt started twice: ${attempt}`),
    ...lost.map((id) => `accepted job lost: ${id}`),
    ...open.map((id) => `job not finished: ${id}`),
    ...restarted.map((run) => `started after cancellation: ${run.task}#${run.attempt}`),
    ...running.map((run) => `runs after cancellation: ${run.task}#${run.attempt}`),
    ...resumedWrong.map(
      (run) => `resumed from wrong checkpoint ${run.startCheckpoint}: ${run.task}#${run.attempt}`,
    ),
    ...repeated.map((run) => `run again after completion: ${run.task}#${run.attempt}`),
  ];
}

function wasRecorded(
  simulation: PartitionSimulation,
  run: { task: string; attempt: number },
): boolean {
  const batchTask = simulation.owner?.ledger.getTask(run.task);
  return batchTask?.phase === "completed" && batchTask.attempt === run.attempt;
}

async function checkHistories(t: ExecutionContext, runs: number): Promise<void> {
  t.log(`seed ${SEED}, ${runs} histories`);
  let starts = 0;
  await fc.assert(
    fc.asyncProperty(fc.array(operation, { minLength: 20, maxLength: 80 }), async (operations) => {
      const simulation = new PartitionSimulation();
      await simulation.run({ kind: "take-over", entry: 0, agent: 0, pick: 1 });
      await simulation.run({ kind: "submit", entry: 0, agent: 0, pick: 0 });
      for (const next of operations) {
        await simulation.run(next);
      }
      await simulation.heal();
      starts += simulation.agents.history.length;
      const faults = findFaults(simulation);
      if (faults.length > 0) {
        throw new Error(faults.join("; "));
      }
    }),
    { seed: SEED, numRuns: runs, includeErrorInReport: true },
  );
  t.log(`${starts} starts`);
  t.true(starts >= runs);
}

test("PartitionOwner runs no task twice and loses none under random faults", async (t) => {
  t.timeout(120_000);
  await checkHistories(t, RUNS);
});
