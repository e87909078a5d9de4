/**
 * Tests of configuration changes with several entries, under store outages, lost responses and
 * concurrent changes. The reported outcomes are checked against the store's history.
 */
import test, { type ExecutionContext } from "ava";
import type { ChangeOutcome } from "../../src/protocol/config/ConfigChange.ts";
import type { ConfigSnapshot } from "../../src/protocol/config/ConfigDocument.ts";
import { Cluster } from "../../standins/cluster/Cluster.ts";
import type { ClusterEntry } from "../../standins/cluster/ClusterEntry.ts";
import { callJson } from "../../standins/cluster/httpJson.ts";
import { waitUntil } from "../../standins/cluster/waitUntil.ts";
import {
  findReversions,
  findViolations,
  type ReportedOutcome,
} from "../support/ConfigHistoryChecker.ts";
import { createChange, createHeatOperation } from "../support/configSamples.ts";
import type { StoredConfig } from "../../src/protocol/config/StoredConfig.ts";

const IN_FORCE_TIMEOUT_MS = 4000;
const RESTART_TIMEOUT_MS = 15_000;
const RACES = 15;
const NO_FAULTS = { outage: "none", delayMs: 0, answerDelayMs: 0, lostAnswers: 0, lostRequests: 0 };

let cluster: Cluster;
const reportedOutcomes: ReportedOutcome[] = [];
const revisionsByEntry = new Map<string, number[]>();

test.before(async () => {
  cluster = await Cluster.start({ entries: 3, proxyStore: true });
});

test.after.always(async () => {
  await cluster.stop();
});

async function change(entry: ClusterEntry, zone: string, level: number): Promise<ChangeOutcome> {
  const { body } = await callJson("GET", `http://${entry.api}/v1/config`);
  const { revision } = body as ConfigSnapshot;
  const changeId = `change-${reportedOutcomes.length}-${crypto.randomUUID().slice(0, 8)}`;
  return submit(entry, createChange(changeId, [createHeatOperation(zone, level)], revision));
}

async function submit(
  entry: ClusterEntry,
  body: ReturnType<typeof createChange>,
): Promise<ChangeOutcome> {
  const reply = await callJson("POST", `http://${entry.api}/v1/config/changes`, body);
  const outcome = reply.body as ChangeOutcome;
  reportedOutcomes.push({ change: body, outcome });
  return outcome;
}

/** Reads the revision of every entry and records it, so that a reversion is found later. */
async function getRevisions(entries = cluster.entries): Promise<readonly number[]> {
  return Promise.all(
    entries.map(async (entry) => {
      const { body } = await callJson("GET", `http://${entry.api}/v1/config`);
      const { revision } = body as ConfigSnapshot;
      const known = revisionsByEntry.get(entry.name) ?? [];
      revisionsByEntry.set(entry.name, known.at(-1) === revision ? known : [...known, revision]);
      return revision;
    }),
  );
}

/** Waits until every entry has a revision and knows that all processes have it. */
async function waitUntilInForce(t: ExecutionContext, revision: number): Promise<void> {
  const startedAt = performance.now();
  let lastSeen = "no answer";
  const isInForce = async () => {
    const revisions = await getRevisions();
    const coverages = await Promise.all(
      cluster.entries.map((entry) =>
        callJson("GET", `http://${entry.api}/v1/config/coverage?revision=${revision}`),
      ),
    );
    lastSeen = JSON.stringify({ revisions, coverages: coverages.map(({ body }) => body) });
    return (
      revisions.every((current) => current >= revision) &&
      coverages.every(({ body }) => {
        const coverage = body as { complete: boolean; total: number };
        return coverage.complete && coverage.total === cluster.entries.length + cluster.vms.length;
      })
    );
  };
  await waitUntil(`revision ${revision} in force everywhere`, IN_FORCE_TIMEOUT_MS, isInForce).catch(
    (err: unknown) => {
      t.log(lastSeen);
      throw err;
    },
  );
  t.log(`in force everywhere after ${Math.round(performance.now() - startedAt)} ms`);
}

async function applyChange(t: ExecutionContext, entry: ClusterEntry, level: number) {
  const outcome = await change(entry, "zone-a", level);
  t.is(outcome.kind, "accepted", JSON.stringify(outcome));
  if (outcome.kind === "accepted") {
    await waitUntilInForce(t, outcome.revision);
  }
}

test.serial(
  "configuration is in force everywhere within 4 s, also with a slow store",
  async (t) => {
    await applyChange(t, cluster.getEntry(0), 1);
    await cluster.setStoreFaults({ delayMs: 200, answerDelayMs: 200 });
    await applyChange(t, cluster.getEntry(1), 2);
    await cluster.setStoreFaults(NO_FAULTS);
  },
);

test.serial("configuration is accepted once when responses of the store are lost", async (t) => {
  await cluster.setStoreFaults({ lostAnswers: 1 });
  await applyChange(t, cluster.getEntry(0), 3);
  await cluster.setStoreFaults({ lostRequests: 1 });
  await applyChange(t, cluster.getEntry(1), 4);
  await cluster.setStoreFaults({ lostAnswers: 1, lostAs: "hang" });
  await applyChange(t, cluster.getEntry(2), 5);
  await cluster.setStoreFaults(NO_FAULTS);
});

test.serial("configuration reaches an entry that is disconnected from the store", async (t) => {
  const proxy = cluster.getEntry(2).storeProxy;
  await proxy?.setFaults({ newConnections: "refuse" });
  proxy?.cutAll();
  await applyChange(t, cluster.getEntry(0), 6);
  const refused = await change(cluster.getEntry(2), "zone-a", 7);
  t.like(refused, { kind: "refused", reason: "store-unavailable" });
  await proxy?.clearFaults();
  await waitUntil("the entry accepts changes again", IN_FORCE_TIMEOUT_MS, async () => {
    return (await change(cluster.getEntry(2), "zone-b", 1)).kind === "accepted";
  });
});

test.serial(
  "configuration accepts one of several concurrent changes of the same setting",
  async (t) => {
    const kinds: string[] = [];
    for (let race = 0; race < RACES; race += 1) {
      const [revision = 0] = await getRevisions();
      await waitUntilInForce(t, revision);
      const outcomes = await Promise.all(
        cluster.entries.map((entry, index) =>
          submit(
            entry,
            createChange(
              `race-${race}-${index}`,
              [createHeatOperation("zone-c", (race + index) % 11)],
              revision,
            ),
          ),
        ),
      );
      kinds.push(...outcomes.map((outcome) => outcome.kind));
      t.is(outcomes.filter(({ kind }) => kind === "accepted").length, 1);
      const lost = outcomes.filter((outcome) => outcome.kind === "refused");
      t.true(
        lost.every(({ reason, conflicts }) => reason === "conflict" && conflicts.length === 1),
      );
    }
    t.log(`${kinds.length} changes`);
  },
);

test.serial("configuration survives the restart of an entry during a store outage", async (t) => {
  const [before = 0] = await getRevisions();
  await waitUntilInForce(t, before);
  await cluster.setStoreFaults({ outage: "reset" });
  const restarted = cluster.getEntry(1);
  await restarted.process.kill();
  restarted.process.start();
  await waitUntil("the entry is ready", RESTART_TIMEOUT_MS, async () => {
    return (await callJson("GET", `http://${restarted.api}/health/ready`)).status === 200;
  });
  const [after = 0] = await getRevisions([restarted]);
  t.is(after, before);
  const refused = await change(restarted, "zone-a", 8);
  t.like(refused, { kind: "refused", reason: "store-unavailable" });
  await cluster.setStoreFaults(NO_FAULTS);
  await waitUntil("changes are accepted again", IN_FORCE_TIMEOUT_MS, async () => {
    return (await change(cluster.getEntry(0), "zone-a", 9)).kind === "accepted";
  });
});

test.serial("configuration settles a change with an unknown outcome", async (t) => {
  const entry = cluster.getEntry(0);
  const [revision = 0] = await getRevisions([entry]);
  await cluster.setStoreFaults({ lostRequests: 1000 });
  const unknownChange = createChange("unknown-1", [createHeatOperation("zone-b", 7)], revision);
  const outcome = await submit(entry, unknownChange);
  await cluster.setStoreFaults(NO_FAULTS);
  t.is(outcome.kind, "unknown", JSON.stringify(outcome));
  const path = `/v1/config/changes/unknown-1/settle?since=${revision}`;
  const settled = (await callJson("POST", `http://${entry.api}${path}`)).body as ChangeOutcome;
  t.like(settled, { kind: "refused", reason: "barred" });
  reportedOutcomes.push({ change: unknownChange, outcome: settled });
});

test.serial("configuration never reverts, and every reported outcome was true", async (t) => {
  const entry = cluster.getEntry(0);
  const { body } = await callJson("GET", `http://${entry.api}/v1/config/history`);
  const current = await callJson("GET", `http://${entry.api}/v1/config`);
  const stored = { ...(body as StoredConfig), ...(current.body as ConfigSnapshot) };
  t.deepEqual(findViolations(reportedOutcomes, stored), []);
  t.deepEqual([...revisionsByEntry.values()].flatMap(findReversions), []);
  await waitUntilInForce(t, stored.revision);
  t.log(`${reportedOutcomes.length} reported outcomes`);
});
