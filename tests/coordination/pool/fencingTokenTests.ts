/**
 * Tests of the fencing tokens of agents.
 */
import test from "ava";
import { FencingToken } from "../../../src/coordination/pool/FencingToken.ts";
import { createFencingToken } from "../../support/createWorkerAgent.ts";

/** Revision of the first process's registration, and of the store's last change before it. */
const REVISION = 7;
/** More tokens than a revision has. */
const MANY = 10_000;

function expireOften(token: FencingToken): void {
  Array.from({ length: MANY }).forEach(() => {
    token.expire(token.value);
  });
}

// Guards against a process that takes a token which is lower than those of the process before it.
test("FencingToken has no value before its process is registered", (t) => {
  const token = new FencingToken(() => undefined);
  token.advance(REVISION);
  token.expire(token.value);
  t.is(token.value, undefined);
});

test("FencingToken rises with each expiry, and with each epoch whether its revision is later or not", (t) => {
  const token = createFencingToken(REVISION);
  const values = [REVISION, REVISION - 1, REVISION + 1, REVISION].map((epoch) => {
    const before = token.value ?? 0;
    token.advance(epoch);
    return (token.value ?? 0) > before;
  });
  t.deepEqual(values, [true, true, true, true]);
  const before = token.value ?? 0;
  token.expire(before);
  t.true((token.value ?? 0) > before);
});

// Guards against tokens that are used up by the calls that time out together.
test("FencingToken takes one new token for all calls under the same one", (t) => {
  const token = createFencingToken(REVISION);
  const before = token.value;
  token.expire(before);
  const after = token.value;
  token.expire(before);
  t.is(token.value, after);
});

// Guards against an agent that restarts and begins lower than its predecessor.
test("FencingToken of the next process is higher than all of the one before", (t) => {
  const former = createFencingToken(REVISION);
  former.advance(REVISION + 5);
  expireOften(former);
  const next = createFencingToken(REVISION + 6);
  t.true((next.value ?? 0) > (former.value ?? 0));
});

// Guards against a process that is refused for a token of its own, and asks for another registration.
test("FencingToken that the worker has refused is replaced by one of a later registration", (t) => {
  let dueCount = 0;
  const token = new FencingToken(() => {
    dueCount += 1;
  });
  token.register(REVISION);
  const first = token.value ?? 0;
  token.expire(first);
  t.true(token.handleRefusal(first), "there is a later one");
  t.is(dueCount, 0);
  const second = token.value ?? 0;
  t.false(token.handleRefusal(second));
  t.false(token.handleRefusal(second), "a call beside the other one");
  t.is(token.value, undefined);
  t.is(dueCount, 1);
  token.advance(REVISION + 1);
  t.is(token.value, undefined, "an epoch is no registration");
  token.register(REVISION + 2);
  t.true((token.value ?? 0) > second);
});

// Guards against tokens of one revision that reach those of the next, or stay the same for good.
test("FencingToken asks for a registration once it has used up its revision", (t) => {
  let askedCount = 0;
  const token = new FencingToken(() => {
    askedCount += 1;
  });
  token.register(REVISION);
  expireOften(token);
  t.is(askedCount, 1);
  const last = token.value ?? 0;
  t.true(last < (createFencingToken(REVISION + 1).value ?? 0));
  token.register(REVISION + 1);
  t.true((token.value ?? 0) > last);
  expireOften(token);
  t.is(askedCount, 2);
});

// Guards against tokens that a message cannot represent, so that two of them are the same.
test("FencingToken is represented exactly whatever the revision is", (t) => {
  const token = createFencingToken(Number.MAX_SAFE_INTEGER);
  expireOften(token);
  t.true(Number.isSafeInteger(token.value));
});
