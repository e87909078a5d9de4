import test from "ava";
import fc from "fast-check";
import { ActiveConfig } from "../../../src/coordination/config/ActiveConfig.ts";
import type { ChangeOutcome } from "../../../src/protocol/config/ConfigChange.ts";
import type { ConfigSnapshot } from "../../../src/protocol/config/ConfigDocument.ts";
import type { StoredConfig } from "../../../src/protocol/config/StoredConfig.ts";
import { ConfigWatcher } from "../../../src/transport/config/ConfigWatcher.ts";
import { ConfigWriter } from "../../../src/transport/config/ConfigWriter.ts";
import {
  findReversions,
  findViolations,
  type ReportedOutcome,
} from "../../support/ConfigHistoryChecker.ts";
import { createChange, createHeatOperation } from "../../support/configSamples.ts";
import { DelayedWriteStore } from "../../support/DelayedWriteStore.ts";
import { ManualClock } from "../../support/ManualClock.ts";
import { MemoryLog } from "../../support/MemoryLog.ts";
import { SeededRandom } from "../../support/SeededRandom.ts";

const SEED = 20263;
const RUNS = 150;
const ENTRIES = 3;
const TIMEOUT_MS = 400;
const SETTLE_TIMEOUT_MS = 5000;
const ZONES = ["a", "b"];

/** One step of a race, executed at one entry. */
const step = fc.record({
  entry: fc.nat(ENTRIES - 1),
  kind: fc.constantFrom(
    "submit" as const,
    "submit" as const,
    "submit" as const,
    "lose-answer" as const,
    "lose-request" as const,
    "hold" as const,
    "land" as const,
    "outage" as const,
    "recover" as const,
    "slow" as const,
    "stale" as const,
  ),
  zone: fc.constantFrom(...ZONES),
  level: fc.nat(10),
  staleBy: fc.nat(2),
  settles: fc.constantFrom("never" as const, "after" as const, "meanwhile" as const),
  pauseMs: fc.constantFrom(0, 0, 5, 40, 400),
});

type Step = typeof step extends fc.Arbitrary<infer T> ? T : never;

/** One entry with its own connection to the shared store. */
class RaceEntry {
  readonly store: DelayedWriteStore;
  readonly activeConfig = new ActiveConfig();
  readonly snapshots: ConfigSnapshot[] = [];
  readonly writer: ConfigWriter;
  readonly watcher: ConfigWatcher;

  constructor(clock: ManualClock, first: DelayedWriteStore | undefined, index: number) {
    this.store = new DelayedWriteStore(clock, first?.model);
    const deps = {
      store: this.store,
      activeConfig: this.activeConfig,
      clock,
      random: new SeededRandom(SEED + index),
      log: new MemoryLog(),
      getTimeOfDay: () => "2026-01-01T00:00:00.000Z",
      fetchPeerSnapshots: () => Promise.resolve([]),
    };
    this.writer = new ConfigWriter(deps);
    this.watcher = new ConfigWatcher(deps);
    this.activeConfig.addListener((snapshot) => this.snapshots.push(snapshot));
    this.watcher.start();
  }

  /** Submits a change; its operator settles it afterwards, or concurrently without waiting for the reply. */
  async submit(changeId: string, current: Step): Promise<readonly ReportedOutcome[]> {
    const { zone, level, staleBy, settles } = current;
    const activeRevision = this.activeConfig.getRevision();
    const base = activeRevision === undefined ? undefined : Math.max(0, activeRevision - staleBy);
    const change = createChange(changeId, [createHeatOperation(zone, level)], base);
    const settle = (): Promise<ChangeOutcome> =>
      this.writer.settle(changeId, base ?? 0, SETTLE_TIMEOUT_MS);
    const settled = settles === "meanwhile" ? [settle()] : [];
    const outcome = await this.writer.submit(change, TIMEOUT_MS);
    const late = outcome.kind === "unknown" && settles === "after" ? [settle()] : [];
    const outcomes = [outcome, ...(await Promise.all([...settled, ...late]))];
    return outcomes.map((reported) => ({ change, outcome: reported }));
  }

  /** Starts or ends a fault. */
  applyFault({ kind, pauseMs }: Step): void {
    const { store } = this;
    const actions: Partial<Record<Step["kind"], () => void>> = {
      "lose-answer": () => (store.faults.lostAnswers += 1),
      "lose-request": () => (store.faults.lostRequests += 1),
      hold: () => (store.delayNextWrites += 3),
      land: () => store.applyDelayedWrites(),
      outage: () => {
        store.startOutage();
      },
      recover: () => {
        store.endOutage();
      },
      stale: () => {
        this.snapshots
          .slice(-3, -1)
          .forEach((snapshot) => this.activeConfig.applyIfNewer(snapshot));
      },
      slow: () => (store.faults.delayMs = pauseMs),
    };
    actions[kind]?.();
  }

  /** Ends all faults. */
  clearFaults(): void {
    this.store.applyDelayedWrites();
    this.store.endOutage();
    Object.assign(this.store.faults, { delayMs: 0, lostAnswers: 0, lostRequests: 0 });
    this.store.delayNextWrites = 0;
  }
}

async function runSteps(steps: readonly Step[]): Promise<{
  readonly violations: readonly string[];
  readonly reported: readonly ReportedOutcome[];
}> {
  const clock = new ManualClock();
  const first = new RaceEntry(clock, undefined, 0);
  const others = [1, 2].map((index) => new RaceEntry(clock, first.store, index));
  const entries = [first, ...others];
  const calls: Promise<readonly ReportedOutcome[]>[] = [];
  for (const [index, current] of steps.entries()) {
    const entry = entries[current.entry] ?? first;
    if (current.kind === "submit") {
      calls.push(entry.submit(`change-${index}`, current));
    }
    entry.applyFault(current);
    await clock.advance(current.pauseMs);
  }
  await clock.advance(TIMEOUT_MS);
  entries.forEach((entry) => {
    entry.clearFaults();
  });
  await clock.advance(TIMEOUT_MS + SETTLE_TIMEOUT_MS);
  const reported = (await Promise.all(calls)).flat();
  const read = first.writer.read(TIMEOUT_MS);
  await clock.advance(0);
  const stored = (await read) as StoredConfig;
  entries.forEach((entry) => {
    entry.watcher.stop();
  });
  const lagging = entries
    .filter((entry) => entry.activeConfig.getRevision() !== stored.revision)
    .map((_, index) => `entry ${index} has not reached the stored revision`);
  const reversions = entries.flatMap((entry) =>
    findReversions(entry.snapshots.map(({ revision }) => revision)),
  );
  return { violations: [...findViolations(reported, stored), ...reversions, ...lagging], reported };
}

test("ConfigWriter reports correct outcomes to concurrent operators under faults", async (t) => {
  const kinds = new Map<string, number>();
  t.log(`seed ${SEED}`);
  await fc.assert(
    fc.asyncProperty(fc.array(step, { minLength: 10, maxLength: 40 }), async (steps) => {
      const { violations, reported } = await runSteps(steps);
      reported.forEach(({ outcome }) => {
        const kind = outcome.kind === "refused" ? outcome.reason : outcome.kind;
        kinds.set(kind, (kinds.get(kind) ?? 0) + 1);
      });
      t.deepEqual(violations, []);
    }),
    { seed: SEED, numRuns: RUNS },
  );
  t.log(JSON.stringify(Object.fromEntries(kinds)));
  ["accepted", "conflict", "barred", "unknown", "store-unavailable"].forEach((kind) => {
    t.true((kinds.get(kind) ?? 0) > 0, `no outcome was ${kind}`);
  });
});
