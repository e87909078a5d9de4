/**
 * Tests of which lists of a worker count if the responses to two calls overlap.
 */
import test from "ava";
import { WorkerLists } from "../../../src/coordination/pool/WorkerLists.ts";

function createRuns(clockMs: number) {
  return { clockMs, startedAtMs: 1, running: [], ended: [], mayLackEnds: false };
}

[
  { title: "older lists of a later call", clockMs: 90, wasOvertaken: true },
  { title: "lists of the same millisecond", clockMs: 100, wasOvertaken: true },
  { title: "later lists of an earlier call", clockMs: 101, wasOvertaken: false },
].forEach(({ title, clockMs, wasOvertaken }) => {
  // Guards against runs that are held lost because a list from before their start arrived last.
  test(`WorkerLists decides by the worker's clock on ${title}`, (t) => {
    const lists = new WorkerLists();
    const before = lists.present;
    lists.replace(createRuns(100), 7, 0);
    t.is(lists.wasOvertaken(createRuns(clockMs), before), wasOvertaken);
  });
});

test("WorkerLists takes lists of a call that was sent after the present ones arrived", (t) => {
  const lists = new WorkerLists();
  lists.replace(createRuns(100), 7, 0);
  t.false(lists.wasOvertaken(createRuns(100), lists.present));
});

test("WorkerLists keeps the highest call number, as later lists show what earlier ones did", (t) => {
  const lists = new WorkerLists();
  lists.replace(createRuns(100), 8, 0);
  lists.replace(createRuns(101), 7, 5);
  t.like(lists.present, { clockMs: 101, callNumber: 8 });
  t.is(lists.listedAt, 5);
});

test("WorkerLists remembers when outdated lists arrived, but not those of another incarnation", (t) => {
  const lists = new WorkerLists();
  lists.replace(createRuns(100), 7, 5);
  lists.expire();
  t.is(lists.present, undefined);
  t.is(lists.listedAt, 5);
  lists.reset();
  t.is(lists.listedAt, undefined);
});
