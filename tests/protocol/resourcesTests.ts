import test from "ava";
import {
  addResources,
  fits,
  NO_RESOURCES,
  subtractResources,
} from "../../src/protocol/Resources.ts";

const ONE_CORE = { processorsMilli: 1000, memoryBytes: 1024, accelerators: 1 };

test("subtractResources reverts addResources", (t) => {
  t.deepEqual(subtractResources(addResources(ONE_CORE, ONE_CORE), ONE_CORE), ONE_CORE);
});

test("fits compares every resource", (t) => {
  t.true(fits(NO_RESOURCES, ONE_CORE));
  t.true(fits(ONE_CORE, ONE_CORE));
  t.false(fits({ ...ONE_CORE, accelerators: 2 }, ONE_CORE));
});
