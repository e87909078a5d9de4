import test from "ava";
import {
  HEAT_CALM_MS,
  HEAT_REPORT_TIMEOUT_MS,
  HeatTracker,
} from "../../../src/coordination/disturbance/HeatTracker.ts";
import { getHeatYield } from "../../../src/coordination/disturbance/heatYield.ts";
import { SAMPLE_PROFILE } from "../../support/configSamples.ts";

const decide = (tracker: HeatTracker, now: number, level: number | undefined, operatorLevel = 0) =>
  tracker.decide({ now, operatorLevel, report: { receivedAt: now, level } });

test("HeatTracker rises immediately and falls by one level after a calm period", (t) => {
  const tracker = new HeatTracker();
  t.is(decide(tracker, 0, 0).level, 0);
  t.is(decide(tracker, 1000, 3).level, 3);
  t.is(decide(tracker, 2000, 0).level, 3);
  t.is(decide(tracker, 1999 + HEAT_CALM_MS, 0).level, 3);
  t.is(decide(tracker, 2000 + HEAT_CALM_MS, 0).level, 2);
  t.is(decide(tracker, 2000 + 2 * HEAT_CALM_MS, 0).level, 1);
});

test("HeatTracker stays at the higher of two alternating levels", (t) => {
  const tracker = new HeatTracker();
  const levels = Array.from({ length: 100 }, (_, index) => index * 1000).map(
    (now) => decide(tracker, now, now % 2000 === 0 ? 2 : 1).level,
  );
  t.deepEqual([...new Set(levels)], [2]);
});

test("HeatTracker assumes a safe level without a report and says so", (t) => {
  const tracker = new HeatTracker();
  decide(tracker, 0, 0);
  const report = { receivedAt: 0, level: 0 };
  const decision = tracker.decide({
    now: HEAT_REPORT_TIMEOUT_MS + 1,
    operatorLevel: 0,
    report,
  });
  t.like(decision, { level: 1, isAssumed: true });
  t.regex(decision.reason, /missing/);
  t.like(decide(tracker, 7000, undefined), { level: 1, isAssumed: true });
  t.like(decide(tracker, 8000, 0), { level: 0, isAssumed: false });
});

test("HeatTracker does not lower the level while reports are missing", (t) => {
  const tracker = new HeatTracker();
  decide(tracker, 0, 3);
  t.is(decide(tracker, 10 * HEAT_CALM_MS, undefined).level, 3);
  t.is(decide(tracker, 10 * HEAT_CALM_MS + 1000, 0).level, 3);
});

test("HeatTracker follows the operators' level if the worker has no sensor", (t) => {
  const tracker = new HeatTracker();
  t.like(decide(tracker, 0, undefined, 2), { level: 2, isAssumed: false });
  t.like(decide(tracker, 1000, undefined, 0), { level: 0, isAssumed: false });
});

test("getHeatYield returns the strictest of all profiles at the level", (t) => {
  const step = { startTasks: true, throttlePercent: 100, evict: false };
  const one = {
    ...SAMPLE_PROFILE,
    heat: [
      { ...step, level: 1, throttlePercent: 50 },
      { ...step, level: 3, evict: true },
    ],
  };
  const two = { ...SAMPLE_PROFILE, heat: [{ ...step, level: 2, startTasks: false }] };
  t.deepEqual(getHeatYield([one, two], 0), step);
  t.deepEqual(getHeatYield([one, two], 2), {
    startTasks: false,
    throttlePercent: 50,
    evict: false,
  });
  t.true(getHeatYield([one, two], 5).evict);
});
