/**
 * Demonstrates fireflylb on this machine: 3 entries and 11 VMs, each with an agent, a worker and a
 * backend server, as separate processes. Sends requests and submits jobs, raises the heat level of
 * a zone, shuts one VM down and kills another, prints the results and checks that no request and no
 * task was lost or duplicated. With --stay, the deployment keeps running afterwards.
 */
import { once } from "node:events";
import { join } from "node:path";
import { CallerLoad } from "../standins/callers/CallerLoad.ts";
import type { CallKind, CallOutcome } from "../standins/callers/CallerLoad.ts";
import { Cluster } from "../standins/cluster/Cluster.ts";
import type { ClusterVm } from "../standins/cluster/ClusterVm.ts";
import { waitUntil } from "../standins/cluster/waitUntil.ts";
import { findRequestViolations } from "../standins/history/requestHistory.ts";
import { findTaskViolations } from "../standins/history/taskHistory.ts";
import { MachineClock } from "../standins/support/MachineClock.ts";
import { SeededRandom } from "../tests/support/SeededRandom.ts";
import { DemoCommands } from "./demo/DemoCommands.ts";
import { DemoJobs } from "./demo/DemoJobs.ts";
import type { DemoJob, FinishedJob } from "./demo/DemoJobs.ts";
import { formatLatencies, formatVerdicts } from "./demo/report.ts";

const SEED = 20_261_203;
const SERVICE = "rota-desk";
const HOT_ZONE = "gujarat-b";
const REPOSITORY = join(import.meta.dirname, "..");
const BINARY = join(REPOSITORY, "dist", "fireflylb");
const CONFIGURATION = "examples/collective.ini";
const REQUESTS_PER_PHASE = 1_000;
/** Number of running tasks before the first phase. */
const RUNNING_TASKS = 6;
/** Lines of each process's log that are printed when the demo fails. */
const LOG_LINES = 3;
/** Lease of a task; tasks of a VM that fails restart on another VM after it. */
const TASK_LEASE_MS = 6_000;
const PHASE_TIMEOUT_MS = 60_000;

const CALL_KINDS: readonly CallKind[] = [
  { method: "GET", name: "check", requestClass: "urgent", tenant: "paper-ahmedabad" },
  { method: "GET", name: "check", requestClass: "urgent", tenant: "paper-surat" },
  { method: "POST", name: "swap", requestClass: "normal", tenant: "paper-vadodara" },
  { method: "GET", name: "rota", requestClass: "background", tenant: "paper-night" },
];

const JOBS: readonly DemoJob[] = [
  {
    tenant: "paper-ahmedabad",
    kind: "rebuild",
    tasks: 16,
    cores: 2,
    command: "run 12000",
    urgent: false,
  },
  {
    tenant: "paper-surat",
    kind: "coverage",
    tasks: 10,
    cores: 1,
    command: "run 8000",
    urgent: false,
  },
  {
    tenant: "paper-vadodara",
    kind: "certificate",
    tasks: 6,
    cores: 1,
    command: "run 500",
    urgent: true,
  },
];

/** The demo on one running deployment. */
class Demo {
  private readonly _cluster: Cluster;
  private readonly _commands: DemoCommands;
  private readonly _load: CallerLoad;

  /**
   * Creates the demo.
   * @param cluster - The deployment.
   */
  constructor(cluster: Cluster) {
    const api = cluster.entries.map((entry) => entry.api).join(",");
    this._cluster = cluster;
    this._commands = new DemoCommands(BINARY, api);
    this._load = new CallerLoad({
      clock: new MachineClock(),
      random: new SeededRandom(SEED),
      entries: cluster.entries.map((entry) => entry.listen),
      service: SERVICE,
      callers: 24,
      thinkMs: 60,
      timeoutMs: 5_000,
      kinds: CALL_KINDS,
    });
  }

  /** Runs the demo and returns the violations that it found, one sentence each. */
  async run(): Promise<readonly string[]> {
    const jobs = new DemoJobs(this._commands);
    await this._commands.run("profile", "apply", CONFIGURATION, "--wait");
    this._load.start();
    for (const job of JOBS) {
      await jobs.submit(job);
    }
    await this._waitForTasks(RUNNING_TASKS);
    await this._runPhase("Requests and jobs run concurrently");
    await this._commands.run("heat", "set", HOT_ZONE, "3", "--wait");
    await this._runPhase(`Zone ${HOT_ZONE} has heat level 3`);
    await this._commands.run("heat", "set", HOT_ZONE, "0", "--wait");
    const drainedVm = this._getBusiestVm();
    await drainedVm.server?.process.stop();
    await drainedVm.agent.process.stop();
    await this._runPhase(`VM ${drainedVm.name} was shut down after its tasks were checkpointed`);
    const killedVm = this._getBusiestVm();
    [killedVm.agent, killedVm.worker, killedVm.server].forEach((member) => {
      member?.process.signal("SIGKILL");
    });
    await this._runPhase(
      `VM ${killedVm.name} failed: its agent, worker and backend server were killed`,
    );
    const finished = await jobs.waitForEnd();
    const outcomes = await this._load.stop();
    this._report(outcomes, finished);
    return this._findViolations(outcomes, finished);
  }

  /** Prints commands to try on the deployment, and waits for SIGINT or SIGTERM. */
  async stay(): Promise<void> {
    this._cluster.processes.forEach((member) => {
      member.start();
    });
    const entry = this._cluster.getEntry();
    console.log("\nThe deployment runs until Ctrl-C. Try:");
    this._cluster.entries.forEach(({ name, listen, api }) => {
      console.log(`  ${name}: requests ${listen}, operators ${api}`);
    });
    console.log(`  curl -i -H 'fireflylb-service: ${SERVICE}' http://${entry.listen}/check/1`);
    console.log(`  dist/fireflylb status --api ${entry.api}`);
    await Promise.race([once(process, "SIGINT"), once(process, "SIGTERM")]);
  }

  private async _waitForTasks(count: number): Promise<void> {
    await waitUntil(`${count} tasks are running`, PHASE_TIMEOUT_MS, () =>
      Promise.resolve([...this._countRunning().values()].reduce((a, b) => a + b, 0) >= count),
    );
  }

  /** Counts the running tasks of each VM whose agent is running. */
  private _countRunning(): ReadonlyMap<string, number> {
    const up = this._cluster.vms.filter((vm) => vm.agent.process.pid !== undefined);
    const counts = new Map(up.map((vm) => [vm.name, 0]));
    this._cluster.readWorkerEvents().forEach((event) => {
      const count = counts.get(event.vm);
      if (count !== undefined && (event.event === "start" || event.event === "end")) {
        counts.set(event.vm, count + (event.event === "start" ? 1 : -1));
      }
    });
    return counts;
  }

  private _getBusiestVm(): ClusterVm {
    const counts = this._countRunning();
    const busiest = this._cluster.vms
      .filter((vm) => counts.has(vm.name))
      .toSorted((a, b) => (counts.get(b.name) ?? 0) - (counts.get(a.name) ?? 0))
      .at(0);
    return busiest ?? this._cluster.getVm();
  }

  private async _runPhase(title: string): Promise<void> {
    const from = this._load.outcomes.length;
    await waitUntil(`phase "${title}"`, PHASE_TIMEOUT_MS, () =>
      Promise.resolve(this._load.outcomes.length >= from + REQUESTS_PER_PHASE),
    );
    console.log(`\n${title}.`);
    formatLatencies(this._load.outcomes.slice(from)).forEach((line) => {
      console.log(line);
    });
  }

  private _report(outcomes: readonly CallOutcome[], jobs: readonly FinishedJob[]): void {
    const ends = this._cluster.readWorkerEvents().filter((event) => event.event === "end");
    const evictions = ends.filter((event) => event.phase === "stopped").length;
    const resumed = this._cluster
      .readWorkerEvents()
      .filter((event) => event.event === "start" && event.workFromMs > 0).length;
    console.log(`\n${outcomes.length} requests in total, by outcome:`);
    formatVerdicts(outcomes).forEach((line) => {
      console.log(line);
    });
    console.log("\nJobs:");
    jobs.forEach(({ job, state, completedTasks }) => {
      console.log(`  ${job.kind.padEnd(12)}${state}, ${completedTasks} of ${job.tasks} tasks`);
    });
    console.log(`  evictions: ${evictions}; attempts resumed from a checkpoint: ${resumed}`);
  }

  private _findViolations(
    outcomes: readonly CallOutcome[],
    jobs: readonly FinishedJob[],
  ): readonly string[] {
    return [
      ...findRequestViolations(outcomes, this._cluster.readServerEvents()),
      ...findTaskViolations(this._cluster.readWorkerEvents()),
      ...jobs
        .filter(({ job, completedTasks }) => completedTasks !== job.tasks)
        .map(({ job, id, state }) => `job ${id} of kind ${job.kind} is ${state}`),
    ];
  }
}

const startedAt = performance.now();
console.log("Starting 3 entries and 11 VMs as separate processes.");
const cluster = await Cluster.start({
  entries: 3,
  zones: ["gujarat-a", "gujarat-b", "gujarat-c"],
  services: [
    { service: SERVICE, vms: 11, serviceTimes: "lognormal 8 0.5", slots: 8, connections: 64 },
  ],
  processorsMilli: 32_000,
  memoryBytes: 125_000_000_000,
  entrySettings: { batch: { task_lease_ms: TASK_LEASE_MS } },
  seed: SEED,
});
try {
  const demo = new Demo(cluster);
  const violations = await demo.run();
  violations.forEach((violation) => {
    console.log(`VIOLATION: ${violation}`);
  });
  const seconds = ((performance.now() - startedAt) / 1_000).toFixed(1);
  console.log(
    `\nNothing lost or duplicated: ${violations.length === 0 ? "yes" : "no"}. ${seconds} s.`,
  );
  process.exitCode = violations.length === 0 ? 0 : 1;
  if (process.argv.includes("--stay")) {
    await demo.stay();
  }
} catch (err) {
  console.error(cluster.collectLogs(LOG_LINES));
  throw err;
} finally {
  await cluster.stop();
}
