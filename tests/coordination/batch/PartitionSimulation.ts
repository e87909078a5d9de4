/**
 * Simulation of three entries that take one partition over from one another, with fake agents and a
 * store, driven by random operations. It records the responses to callers, so that the history can
 * be checked.
 */
import type { BatchSettings } from "../../../src/coordination/batch/BatchSettings.ts";
import { DEFAULT_BATCH_SETTINGS } from "../../../src/coordination/batch/BatchSettings.ts";
import { PartitionOwner } from "../../../src/coordination/batch/PartitionOwner.ts";
import { jobSpecSchema } from "../../../src/protocol/jobs/JobSpec.ts";
import { getJobId } from "../../../src/state/batch/BatchIds.ts";
import { FleetView } from "../../../src/state/FleetView.ts";
import { MemoryStore } from "../../../standins/store/MemoryStore.ts";
import { FakeAgents } from "../../support/FakeAgents.ts";
import { ManualClock } from "../../support/ManualClock.ts";
import { MemoryLog } from "../../support/MemoryLog.ts";
import type { Operation, OperationKind } from "./operations.ts";
import { PausableProcess } from "../../support/PausableProcess.ts";

const STEP_MS = 500;
const RATES = [0.9995, 1, 1.0005];
const CFG: BatchSettings = {
  ...DEFAULT_BATCH_SETTINGS,
  partitions: 1,
  taskLeaseMs: 6_000,
  takeoverHorizonMs: 10_000,
  retentionMs: Number.MAX_SAFE_INTEGER,
};
const JOB = {
  tenant: "t",
  kind: "k",
  resources: { processorsMilli: 1_000, memoryBytes: 1, accelerators: 0 },
  command: "c",
  tasks: 2,
  maxFailures: 100,
};
const MAX_HEALING_STEPS = 400;

interface EntryState {
  readonly store: MemoryStore;
  readonly process: PausableProcess;
  owner: PartitionOwner | undefined;
  isTakingOver: boolean;
}

/** Simulation of one history. */
export class PartitionSimulation {
  readonly agents: FakeAgents;
  /** Jobs whose submission was acknowledged. */
  readonly accepted = new Set<string>();
  /** Jobs whose cancellation was acknowledged, with the attempt of each task at that time. */
  readonly cancelled = new Map<string, readonly number[]>();
  private readonly _clock = new ManualClock();
  private readonly _fleet = new FleetView();
  private readonly _entries: readonly EntryState[];
  /** Entry to which each agent reports; agents learn of a new owner with a delay. */
  private readonly _targets = new Map<string, EntryState | undefined>();
  private readonly _lostReports = new Map<string, number>();
  private _delayedReports: (() => void)[] = [];
  private _takeovers = 0;
  private _stepCount = 0;

  /** Creates a simulation in which the partition has no owner. */
  constructor() {
    this.agents = new FakeAgents(this._clock, RATES);
    const store = new MemoryStore(this._clock);
    this._entries = [0, 1, 2].map(() => {
      const own = new MemoryStore(this._clock, store.model);
      const process = new PausableProcess(this._clock, own, this.agents);
      return { store: own, process, owner: undefined, isTakingOver: false };
    });
  }

  /** The owner with the highest epoch. */
  get owner(): PartitionOwner | undefined {
    return this._owners.toSorted((a, b) => b.epoch - a.epoch).at(0);
  }

  private get _owners(): readonly PartitionOwner[] {
    return this._entries.flatMap(({ owner }) => owner ?? []);
  }

  /**
   * Executes an operation.
   * @param operation - The operation.
   */
  async run(operation: Operation): Promise<void> {
    const { kind, pick } = operation;
    const entry = this._getEntry(operation.entry);
    const agent = this.agents.names[operation.agent % RATES.length] ?? "";
    const faults = this.agents.getFaults(agent);
    const runs = this.agents.getRunning();
    const chosen = runs.slice(pick % Math.max(1, runs.length)).slice(0, 1);
    const actions: Readonly<Record<OperationKind, () => void>> = {
      advance: () => undefined,
      "advance-far": () => undefined,
      "take-over": () => {
        this._takeOver(entry);
      },
      pause: () => {
        entry.process.pause();
      },
      resume: () => {
        entry.process.resume();
      },
      outage: () => {
        entry.store.startOutage();
      },
      "store-back": () => {
        entry.store.endOutage();
      },
      "lost-answers": () => (entry.store.faults.lostAnswers = 1 + (pick % 3)),
      "lost-requests": () => (entry.store.faults.lostRequests = 1 + (pick % 3)),
      submit: () => {
        this._submit(entry, pick % 4);
      },
      cancel: () => {
        this._cancel(entry, pick % 4);
      },
      evict: () => {
        chosen.forEach((run) => entry.owner?.runner.evict(run.task, "test"));
      },
      freeze: () => (faults.isPaused = true),
      thaw: () => {
        this.agents.resume(agent);
      },
      cut: () => (faults.isOffline = true),
      reconnect: () => (faults.isOffline = false),
      "lose-agent-answers": () => (faults.lostReplies = 1 + (pick % 2)),
      replace: () => {
        this.agents.replace(agent);
      },
      complete: () => {
        chosen.forEach((run) => {
          this.agents.finish(run, "completed");
        });
      },
      fail: () => {
        chosen.forEach((run) => {
          this.agents.finish(run, "failed");
        });
      },
      "learn-owner": () => {
        this._targets.set(agent, this._findOwner());
      },
      mislead: () => {
        this._targets.set(agent, entry);
      },
      "late-reports": () => {
        this._delayReports(agent);
      },
      "lose-report-answers": () => {
        this._lostReports.set(agent, 1 + (pick % 4));
      },
    };
    const delayedReports = this._delayedReports;
    this._delayedReports = [];
    actions[kind]();
    await this.step(kind === "advance-far" ? 4 + (pick % 30) : 1 + (pick % 2));
    delayedReports.forEach((deliver) => {
      deliver();
    });
  }

  /** Ends all faults and runs until every job has finished or the step limit is reached. */
  async heal(): Promise<void> {
    this._entries.forEach((entry) => {
      entry.process.resume();
      entry.store.endOutage();
      entry.store.faults.lostAnswers = 0;
      entry.store.faults.lostRequests = 0;
    });
    this.agents.names.forEach((name) => {
      this.agents.resume(name);
      this.agents.getFaults(name).isOffline = false;
      this.agents.getFaults(name).lostReplies = 0;
      this._targets.delete(name);
    });
    for (let step = 0; step < MAX_HEALING_STEPS && !this._isDone(); step += 1) {
      if (this.owner?.state !== "owning") {
        this._takeOver(this._getEntry(0));
      }
      this.agents.getRunning().forEach((run) => {
        this.agents.finish(run, "completed");
      });
      await this.step(4);
    }
  }

  /**
   * Advances the time step by step; in each step owners start tasks and tick, and agents report.
   * @param count - Number of steps.
   */
  async step(count: number): Promise<void> {
    for (let i = 0; i < count; i += 1) {
      this._stepCount += 1;
      this._sendHeartbeats();
      this._entries
        .filter((entry) => !entry.process.isPaused)
        .forEach(({ owner }) => {
          owner?.tick();
          this._startWaiting(owner);
        });
      this._report();
      await this._clock.advance(STEP_MS);
    }
  }

  private _isDone(): boolean {
    const { owner } = this;
    const jobs = [...this.accepted].map((id) => owner?.ledger.getJob(id));
    return (
      owner?.state === "owning" &&
      jobs.every((job) => job !== undefined && owner.ledger.isFinished(job.id))
    );
  }

  private _sendHeartbeats(): void {
    this.agents.names
      .filter((vm) => !this.agents.getFaults(vm).isPaused && !this.agents.getFaults(vm).isOffline)
      .forEach((name) => this._fleet.apply(this.agents.getVm(name)));
  }

  private _getEntry(number: number): EntryState {
    const entry = this._entries[number % this._entries.length];
    if (entry === undefined) {
      throw new Error("the simulation has no entries");
    }
    return entry;
  }

  private _findOwner(): EntryState | undefined {
    return this._entries
      .filter((entry) => !entry.process.isPaused && entry.owner?.state === "owning")
      .toSorted((a, b) => (b.owner?.epoch ?? 0) - (a.owner?.epoch ?? 0))
      .at(0);
  }

  private _report(): void {
    this.agents.names.forEach((name, index) => {
      const target = this._targets.get(name);
      const isUnresponsive = target?.process.isPaused !== false || target.owner?.state !== "owning";
      if (isUnresponsive && (this._stepCount + index) % 8 === 0) {
        this._targets.set(name, this._findOwner());
      }
      this._reportTo(name, this._targets.get(name));
    });
  }

  private _reportTo(agent: string, entry: EntryState | undefined): void {
    if (entry?.owner?.state !== "owning" || entry.process.isPaused) {
      return;
    }
    const lost = this._lostReports.get(agent) ?? 0;
    this._lostReports.set(agent, Math.max(0, lost - 1));
    this.agents.report(agent, entry.owner, lost > 0);
  }

  /** Composes two copies of a report that are delivered after the next operation. */
  private _delayReports(agent: string): void {
    const owner = this._targets.get(agent)?.owner;
    if (owner !== undefined) {
      const deliver = this.agents.composeReport(agent, owner);
      this._delayedReports.push(
        ...[1, 2].map(() => (): void => {
          deliver(false);
        }),
      );
    }
  }

  private _startWaiting(owner: PartitionOwner | undefined): void {
    if (owner?.isAvailable !== true || !owner.mayGrant) {
      return;
    }
    owner.ledger
      .getJobs()
      .filter((job) => !job.cancelled)
      .flatMap((job) => owner.ledger.getWaiting(job.id, 8))
      .filter((task) => owner.runner.getNotBefore(task) <= this._clock.now())
      .forEach((task, index) => {
        const agent = this.agents.names[(this._stepCount + index) % RATES.length] ?? "";
        void owner.runner.start(task, agent);
      });
  }

  private _takeOver(entry: EntryState): void {
    if (entry.owner?.state === "owning" || entry.isTakingOver || entry.process.isPaused) {
      return;
    }
    this._takeovers += 1;
    entry.isTakingOver = true;
    const { store, clock, gateway } = entry.process;
    const takeover = PartitionOwner.takeOver({
      cfg: CFG,
      partition: 0,
      entry: "e",
      writer: `w${this._takeovers}`,
      store,
      clock,
      log: new MemoryLog(),
      fleet: this._fleet,
      gateway,
      onOutcome: () => undefined,
      onSuperseded: () => undefined,
    });
    void takeover.then((owner) => {
      entry.isTakingOver = false;
      entry.owner = owner.unwrapOr(entry.owner);
      entry.owner?.recordClaim();
    });
  }

  private _submit(entry: EntryState, number: number): void {
    const spec = jobSpecSchema.parse({ ...JOB, key: `job-${number}` });
    const id = getJobId(spec.tenant, spec.key, 1);
    if (entry.process.isPaused) {
      return;
    }
    void entry.owner?.submissions.submit(id, spec).then((outcome) => {
      if (outcome.kind === "accepted") {
        this.accepted.add(id);
      }
    });
  }

  private _cancel(entry: EntryState, number: number): void {
    const id = getJobId("t", `job-${number}`, 1);
    const { owner } = entry;
    if (entry.process.isPaused || owner?.state !== "owning") {
      return;
    }
    void owner.submissions.cancel(id).then((outcome) => {
      if (outcome.kind === "accepted" && !this.cancelled.has(id)) {
        const attempts = owner.ledger.getJob(id)?.tasks.map((task) => task.attempt) ?? [];
        this.cancelled.set(id, attempts);
      }
    });
  }
}
