/**
 * Carries attempts of tasks from the start record to the end record. No agent is told of a start
 * before its record is in the log, and no attempt ends before it certainly does not run.
 */
import type { Clock } from "../../protocol/platform/Clock.ts";
import type { AttemptOutcome, EndRecord } from "../../state/batch/BatchRecord.ts";
import type { FleetView } from "../../state/FleetView.ts";
import type { AttemptResult } from "./Placer.ts";
import type { AgentGateway, StartOutcome, StopOutcome } from "./AgentGateway.ts";
import type { BatchSettings } from "./BatchSettings.ts";
import { getLeaseExpiryWaitMs } from "./leaseDurations.ts";
import type { PartitionLog } from "./PartitionLog.ts";
import type { ActiveTask, ActiveTaskTable } from "./ActiveTaskTable.ts";

const MAX_STOPS_IN_FLIGHT = 64;
const STOP_RETRY_MIN_MS = 500;
const STOP_RETRY_MAX_MS = 5_000;
const RETRY_BASE_MS = 1_000;
const REFUSAL_DELAY_MS = 500;
const RETRY_MAX_MS = 300_000;
const MAX_BACKOFF_DOUBLINGS = 10;

/** What a runner needs. */
export interface AttemptRunnerDependencies {
  readonly cfg: BatchSettings;
  readonly partition: number;
  readonly clock: Clock;
  readonly log: PartitionLog;
  readonly activeTasks: ActiveTaskTable;
  readonly fleet: FleetView;
  readonly gateway: AgentGateway;
  /** Whether this owner may still grant leases. */
  readonly mayGrant: () => boolean;
  /** Called when an attempt was accepted or refused, or has completed or failed. */
  readonly onOutcome: (note: Omit<AttemptResult, "now">) => void;
}

/** Runs the attempts of one partition. */
export class AttemptRunner {
  private readonly _deps: AttemptRunnerDependencies;
  private readonly _notBefore = new Map<string, number>();
  private readonly _recording = new Set<string>();
  private _stopsInFlight = 0;

  /**
   * Creates a runner.
   * @param parts - What it needs.
   */
  constructor(parts: AttemptRunnerDependencies) {
    this._deps = parts;
  }

  /**
   * Gives the time before which a task must not be started again; 0 where it may be at once.
   * @param task - Id of the task.
   */
  getNotBefore(task: string): number {
    return this._notBefore.get(task) ?? 0;
  }

  /**
   * Starts a waiting task on a VM.
   * @param task - Id of the task.
   * @param agent - Name of the VM's agent.
   * @returns Whether the start record is in the log.
   */
  async start(task: string, agent: string): Promise<boolean> {
    const { log, activeTasks: book } = this._deps;
    const entry = log.ledger.getTask(task);
    const job = log.ledger.getJobOf(task);
    if (entry?.phase !== "waiting" || job === undefined || book.get(task) !== undefined) {
      return false;
    }
    const attempt = entry.attempt + 1;
    book.add(task, attempt, agent, "recording", Number.POSITIVE_INFINITY, entry.checkpoint);
    const record = { type: "start", task, attempt, agent } as const;
    const appended = await log.append([record], job.spec.urgent);
    if (appended.isErr()) {
      book.remove(task);
      return false;
    }
    this._notBefore.delete(task);
    if (log.ledger.getTask(task)?.phase !== "held") {
      // The job was cancelled by a record before this one.
      book.remove(task);
      return false;
    }
    void this._sendStart(task, attempt, agent);
    return true;
  }

  /**
   * Records how an attempt ended; it must certainly not run any more.
   * @param task - Id of the task.
   * @param outcome - How it ended.
   * @param reason - Why.
   * @param checkpoint - Checkpoint for the next attempt; undefined for the last one known.
   * @returns Whether the record is in the log.
   */
  async end(
    task: string,
    outcome: AttemptOutcome,
    reason: string,
    checkpoint?: string,
  ): Promise<boolean> {
    const active = this._deps.activeTasks.get(task);
    if (active === undefined || active.state === "ending") {
      return false;
    }
    const known = checkpoint === undefined || checkpoint === "" ? active.checkpoint : checkpoint;
    const { attempt } = active;
    const record: EndRecord = { type: "end", task, attempt, outcome, checkpoint: known, reason };
    this._deps.activeTasks.recordEnd(task, record);
    return this._recordEnd(record);
  }

  /**
   * Asks for a checkpoint and a stop of a running task; it is started again from the checkpoint.
   * @param task - Id of the task.
   * @param reason - Why.
   */
  evict(task: string, reason: string): void {
    this._deps.activeTasks.apply(task, "EVICT", reason);
    this.sendDueStops();
  }

  /**
   * Stops a task whose job was cancelled.
   * @param task - Id of the task.
   */
  cancel(task: string): void {
    this._deps.activeTasks.apply(task, "CANCEL", "cancelled");
    this.sendDueStops();
  }

  /** Does what the passing of time calls for. */
  tick(): void {
    const { activeTasks: book, clock } = this._deps;
    book.getExpired(clock.now()).forEach((active) => {
      void this.end(active.task, "released", "lease lapsed without news of the VM");
    });
    this.sendDueStops();
  }

  /** Records again the ends whose records could not be written. */
  retryEndRecords(): void {
    this._deps.activeTasks
      .getAll()
      .filter((active) => active.state === "ending")
      .forEach((active) => {
        if (active.end !== undefined && !this._recording.has(active.task)) {
          void this._recordEnd(active.end);
        }
      });
  }

  /** Asks agents to stop the tasks that are due, a limited number at a time. */
  sendDueStops(): void {
    const { activeTasks: book, clock } = this._deps;
    const room = MAX_STOPS_IN_FLIGHT - this._stopsInFlight;
    book.getStopsDue(clock.now(), Math.max(0, room)).forEach((active) => {
      void this._sendStop(active);
    });
  }

  private async _recordEnd(record: EndRecord): Promise<boolean> {
    const { log, activeTasks: book, clock } = this._deps;
    this._recording.add(record.task);
    const appended = await log.append([record], log.ledger.getJobOf(record.task)?.spec.urgent);
    this._recording.delete(record.task);
    if (appended.isErr()) {
      return false;
    }
    const agent = book.get(record.task)?.agent;
    book.remove(record.task);
    const entry = log.ledger.getTask(record.task);
    if (entry?.phase === "waiting") {
      const doublings = Math.min(entry.failures, MAX_BACKOFF_DOUBLINGS);
      const delay = record.outcome === "failed" ? RETRY_BASE_MS * 2 ** doublings : 0;
      this._notBefore.set(record.task, clock.now() + Math.min(delay, RETRY_MAX_MS));
    }
    if (agent !== undefined && record.outcome !== "released") {
      const kind = log.ledger.getJobOf(record.task)?.spec.kind ?? "";
      this._deps.onOutcome({ agent, kind, outcome: record.outcome });
    }
    return true;
  }

  private async _sendStart(task: string, attempt: number, agent: string): Promise<void> {
    const { cfg, partition, clock, log, activeTasks: book, fleet, gateway } = this._deps;
    const vm = fleet.getVm(agent);
    const job = log.ledger.getJobOf(task);
    const entry = log.ledger.getTask(task);
    book.apply(task, "RECORDED");
    if (vm === undefined || job === undefined || entry === undefined || !this._deps.mayGrant()) {
      await this.end(task, "released", "the VM went away before the start");
      return;
    }
    if (job.cancelled) {
      await this.end(task, "released", "cancelled before the start");
      return;
    }
    book.setLeaseExpiry(task, clock.now() + getLeaseExpiryWaitMs(cfg));
    const { resources, command, kind, tenant, urgent } = job.spec;
    const { checkpoint } = entry;
    const { incarnation, sequence } = vm;
    const outcome = await gateway.startTask(vm.controlAddress, {
      task,
      attempt,
      partition,
      epoch: log.epoch,
      resources,
      command,
      checkpoint,
      kind,
      tenant,
      urgent,
      incarnation,
      sequence,
      leaseMs: cfg.taskLeaseMs,
      expiresMs: cfg.taskLeaseMs,
    });
    await this._handleStartOutcome(task, attempt, agent, outcome);
  }

  private async _handleStartOutcome(
    task: string,
    attempt: number,
    agent: string,
    outcome: StartOutcome,
  ): Promise<void> {
    const { activeTasks: book, clock, log, onOutcome } = this._deps;
    const kind = log.ledger.getJobOf(task)?.spec.kind ?? "";
    if (book.get(task)?.attempt !== attempt) {
      return;
    }
    if (outcome.kind === "accepted") {
      book.apply(task, "ACCEPTED");
      onOutcome({ agent, kind, outcome: "accepted" });
      return;
    }
    if (outcome.kind === "refused") {
      await this.end(task, "released", `refused: ${outcome.reason}`);
      this._notBefore.set(task, clock.now() + REFUSAL_DELAY_MS);
      const isWorkerFault = outcome.reason === "worker-refused";
      onOutcome({ agent, kind, outcome: isWorkerFault ? "failed" : "refused" });
      return;
    }
    book.apply(task, "LOST", "the answer to the start was lost");
    this.sendDueStops();
  }

  private async _sendStop(active: ActiveTask): Promise<void> {
    const { partition, clock, log, activeTasks: book, fleet, gateway } = this._deps;
    const { task, attempt, reason } = active;
    const delay = Math.min(STOP_RETRY_MIN_MS * 2 ** active.stopRequests, STOP_RETRY_MAX_MS);
    book.recordStopRequest(task, clock.now() + delay);
    const vm = fleet.getVm(active.agent);
    if (vm === undefined) {
      return;
    }
    this._stopsInFlight += 1;
    const outcome = await gateway.stopTask(vm.controlAddress, {
      task,
      attempt,
      partition,
      epoch: log.epoch,
      checkpoint: active.state === "evicting",
      reason,
    });
    this._stopsInFlight -= 1;
    await this._handleStopOutcome(active, outcome);
    this.sendDueStops();
  }

  private async _handleStopOutcome(active: ActiveTask, outcome: StopOutcome): Promise<void> {
    if (
      outcome.kind !== "stopped" ||
      this._deps.activeTasks.get(active.task)?.attempt !== active.attempt
    ) {
      return;
    }
    if (outcome.ended !== undefined) {
      await this.end(active.task, outcome.ended, outcome.reason, outcome.checkpoint);
      return;
    }
    await this.end(active.task, "released", active.reason, outcome.checkpoint);
  }
}
