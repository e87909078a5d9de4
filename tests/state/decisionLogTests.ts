import test from "ava";
import { DecisionLog } from "../../src/state/DecisionLog.ts";

const recordAt = (log: DecisionLog, subject: string, at: number) => {
  log.record({ at, subject, decision: "evict", reason: "disturbance" });
};

test("DecisionLog retains the latest entries of a subject", (t) => {
  const log = new DecisionLog({ maxSubjects: 2, maxEntriesPerSubject: 2 });
  [1, 2, 3].forEach((at) => {
    recordAt(log, "vm/a", at);
  });
  t.deepEqual(
    log.getEntries("vm/a").map((entry) => entry.at),
    [2, 3],
  );
});

test("DecisionLog evicts the least recently recorded subject", (t) => {
  const log = new DecisionLog({ maxSubjects: 2, maxEntriesPerSubject: 2 });
  ["vm/a", "vm/b", "vm/a", "vm/c"].forEach((subject, at) => {
    recordAt(log, subject, at);
  });
  t.deepEqual(log.getSubjects(), ["vm/a", "vm/c"]);
  t.deepEqual(log.getEntries("vm/b"), []);
});
