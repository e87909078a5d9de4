/**
 * Executes attempts of tasks from the start record to the end record. A start order is sent only
 * after its record is in the log, and an end is recorded only once the attempt certainly no longer
 * runs.
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

/** Dependencies of an attempt runner. */
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
  /** Called when an attempt was accepted, refused, completed or failed. */
  readonly onOutcome: (result: Omit<AttemptResult, "now">) => void;
}

/** Starts, evicts, cancels and ends the attempts of one partition's tasks. */
export class AttemptRunner {
  private readonly _deps: AttemptRunnerDependencies;
  private readonly _notBefore = new Map<string, number>();
  private readonly _recording = new Set<string>();
  private _stopsInFlight = 0;

  /**
   * Creates a runner.
   * @param deps - Its dependencies.
   */
  constructor(deps: AttemptRunnerDependencies) {
    this._deps = deps;
  }

  /**
   * Gets the time before which a task must not be started again; 0 if it may start at once.
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
    const { log, activeTasks } = this._deps;
    const batchTask = log.ledger.getTask(task);
    const job = log.ledger.getJobOf(task);
    if (
      batchTask?.phase !== "waiting" ||
      job === undefined ||
      activeTasks.get(task) !== undefined
    ) {
      return false;
    }
    const attempt = batchTask.attempt + 1;
    activeTasks.add(
      task,
      attempt,
      agent,
      "recording",
      Number.POSITIVE_INFINITY,
      batchTask.checkpoint,
    );
    const record = { type: "start", task, attempt, agent } as const;
    const appended = await log.append([record], job.spec.urgent);
    if (appended.isErr()) {
      activeTasks.remove(task);
      return false;
    }
    this._notBefore.delete(task);
    if (log.ledger.getTask(task)?.phase !== "held") {
      // A record committed before this one has cancelled the job.
      activeTasks.remove(task);
      return false;
    }
    void this._sendStart(task, attempt, agent);
    return true;
  }

  /**
   * Records how an attempt ended. The caller must be certain that it no longer runs.
   * @param task - Id of the task.
   * @param outcome - How it ended.
   * @param reason - Reason for the end.
   * @param checkpoint - Checkpoint for the next attempt; undefined for the latest one reported.
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
    const lastCheckpoint =
      checkpoint === undefined || checkpoint === "" ? active.checkpoint : checkpoint;
    const { attempt } = active;
    const record: EndRecord = {
      type: "end",
      task,
      attempt,
      outcome,
      checkpoint: lastCheckpoint,
      reason,
    };
    this._deps.activeTasks.recordEnd(task, record);
    return this._recordEnd(record);
  }

  /**
   * Evicts a running task: its agent takes a checkpoint and stops it, and the next attempt starts
   * from that checkpoint.
   * @param task - Id of the task.
   * @param reason - Reason for the eviction.
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

  /** Releases the tasks whose leases have expired and sends the stop orders that are due. */
  tick(): void {
    const { activeTasks, clock } = this._deps;
    activeTasks.getExpired(clock.now()).forEach((active) => {
      void this.end(active.task, "released", "lease expired without a report from the VM");
    });
    this.sendDueStops();
  }

  /** Retries the end records whose write failed. */
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

  /** Sends the stop orders that are due, with a limited number in flight. */
  sendDueStops(): void {
    const { activeTasks, clock } = this._deps;
    const available = MAX_STOPS_IN_FLIGHT - this._stopsInFlight;
    activeTasks.getStopsDue(clock.now(), Math.max(0, available)).forEach((active) => {
      void this._sendStop(active);
    });
  }

  private async _recordEnd(record: EndRecord): Promise<boolean> {
    const { log, activeTasks, clock } = this._deps;
    this._recording.add(record.task);
    const appended = await log.append([record], log.ledger.getJobOf(record.task)?.spec.urgent);
    this._recording.delete(record.task);
    if (appended.isErr()) {
      return false;
    }
    const agent = activeTasks.get(record.task)?.agent;
    activeTasks.remove(record.task);
    const batchTask = log.ledger.getTask(record.task);
    if (batchTask?.phase === "waiting") {
      const doublings = Math.min(batchTask.failures, MAX_BACKOFF_DOUBLINGS);
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
    const { cfg, partition, clock, log, activeTasks, fleet, gateway } = this._deps;
    const vm = fleet.getVm(agent);
    const job = log.ledger.getJobOf(task);
    const batchTask = log.ledger.getTask(task);
    activeTasks.apply(task, "RECORDED");
    if (
      vm === undefined ||
      job === undefined ||
      batchTask === undefined ||
      !this._deps.mayGrant()
    ) {
      await this.end(
        task,
        "released",
        "the start order was not sent: the VM is unknown or this owner may no longer grant leases",
      );
      return;
    }
    if (job.cancelled) {
      await this.end(task, "released", "cancelled before the start");
      return;
    }
    activeTasks.setLeaseExpiry(task, clock.now() + getLeaseExpiryWaitMs(cfg));
    const { resources, command, kind, tenant, urgent } = job.spec;
    const { checkpoint } = batchTask;
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
    const { activeTasks, clock, log, onOutcome } = this._deps;
    const kind = log.ledger.getJobOf(task)?.spec.kind ?? "";
    if (activeTasks.get(task)?.attempt !== attempt) {
      return;
    }
    if (outcome.kind === "accepted") {
      activeTasks.apply(task, "ACCEPTED");
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
    activeTasks.apply(task, "LOST", "the response to the start order was lost");
    this.sendDueStops();
  }

  private async _sendStop(active: ActiveTask): Promise<void> {
    const { partition, clock, log, activeTasks, fleet, gateway } = this._deps;
    const { task, attempt, reason } = active;
    const delay = Math.min(STOP_RETRY_MIN_MS * 2 ** active.stopRequests, STOP_RETRY_MAX_MS);
    activeTasks.recordStopRequest(task, clock.now() + delay);
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
