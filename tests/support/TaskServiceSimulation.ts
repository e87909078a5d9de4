/**
 * Simulation of two agents with their workers, and of an owner that follows the rules for leases,
 * on one clock. A test drives it by steps in any order; it throws an error as soon as a task runs
 * in two places or a VM runs more than its capacity.
 */
import { create } from "@bufbuild/protobuf";
import { InvariantError } from "../../src/protocol/errors/errors.ts";
import {
  ReportTasksReplySchema,
  StartTaskRequestSchema,
  StopTaskRequestSchema,
  type ReportTasksReply,
  type ReportTasksRequest,
  type StartTaskRequest,
  type StopTaskRequest,
} from "../../src/protocol/generated/fireflylb/v1/control_pb.ts";
import { fits } from "../../src/protocol/Resources.ts";
import { TaskService } from "../../src/transport/agent/tasks/TaskService.ts";
import type { EntryClient } from "../../src/transport/agent/tasks/TaskServiceOptions.ts";
import { FakeWorker, type WorkerCall } from "./FakeWorker.ts";
import { ManualClock } from "./ManualClock.ts";
import { MemoryLog } from "./MemoryLog.ts";
import { ProcessClock } from "./ProcessClock.ts";

const LEASE_MS = 3_000;
const POLL_MS = 250;
const SETTLE_MS = 500;
const REPLY_DELAY_MS = 400;
const CAPACITY = { processorsMilli: 3_000, memoryBytes: 3_000, accelerators: 0 };
/** Maximum delay of a call to a worker that outlives the agent that made it. */
const MAX_ORPHAN_DELAY_MS = 200;

interface Vm {
  readonly name: string;
  readonly worker: FakeWorker;
  clock: ProcessClock;
  service: TaskService;
  incarnation: number;
  /** Number of the last heartbeat sent; `known` is the last one that reached the owner. */
  sequence: number;
  known: { readonly incarnation: string; readonly sequence: number } | undefined;
  isCut: boolean;
  heldSince: number | undefined;
}

interface OwnedTask {
  attempt: number;
  /** VM on which the attempt may run; undefined if it certainly does not run. */
  vm: string | undefined;
  /** Time from which the attempt certainly no longer runs. */
  leaseExpiresBy: number;
}

type Message = () => void;

/** Simulates agents, workers and an owner. */
export class TaskServiceSimulation {
  readonly clock = new ManualClock(1_000);
  /** Number of starts that were accepted. */
  accepted = 0;
  private readonly _vms: readonly Vm[] = ["a", "b"].map((name) => this._createVm(name));
  private readonly _tasks: readonly OwnedTask[] = Array.from({ length: 3 }, () => ({
    attempt: 0,
    vm: undefined,
    leaseExpiresBy: 0,
  }));
  private _messages: readonly Message[] = [];

  /** Waits until the agents have started. */
  async startAgents(): Promise<void> {
    await this.clock.advance(SETTLE_MS + 2 * POLL_MS);
  }

  /**
   * Sends a start order for the next attempt of a task, if the last one certainly no longer runs.
   */
  start(taskNumber: number, vmNumber: number, cores: number): void {
    const task = this._tasks[taskNumber % this._tasks.length];
    const vm = this._getVm(vmNumber);
    const now = this.clock.now();
    if (
      task === undefined ||
      vm.known === undefined ||
      (task.vm !== undefined && now < task.leaseExpiresBy)
    ) {
      return;
    }
    task.attempt += 1;
    task.vm = vm.name;
    task.leaseExpiresBy = now + LEASE_MS;
    const { attempt } = task;
    const req = create(StartTaskRequestSchema, {
      task: `t${taskNumber % this._tasks.length}`,
      attempt,
      partition: 1,
      epoch: 1n,
      resources: { processorsMilli: cores * 1_000, memoryBytes: 0, accelerators: 0 },
      leaseMs: LEASE_MS,
      expiresMs: LEASE_MS,
      incarnation: vm.known.incarnation,
      sequence: BigInt(vm.known.sequence),
    });
    this._messages = [
      ...this._messages,
      () => {
        vm.clock.run(() => void this._sendStart(vm, req, task));
      },
    ];
  }

  /** Sends a stop order for a task to the VM on which it may run. */
  stop(taskNumber: number): void {
    const number = taskNumber % this._tasks.length;
    const task = this._tasks[number];
    const vm = this._vms.find((candidate) => candidate.name === task?.vm);
    if (task === undefined || vm === undefined) {
      return;
    }
    const { attempt } = task;
    const req = create(StopTaskRequestSchema, {
      task: `t${number}`,
      attempt,
      partition: 1,
      epoch: 1n,
    });
    this._messages = [
      ...this._messages,
      () => {
        vm.clock.run(() => void this._sendStop(vm, req, task));
      },
    ];
  }

  /** Delivers one of the messages in transit, in any order; with `repeats` it stays in transit. */
  async deliver(number: number, repeats: boolean): Promise<void> {
    const index = number % Math.max(1, this._messages.length);
    const message = this._messages[index];
    if (message === undefined) {
      return;
    }
    if (!repeats) {
      this._messages = this._messages.toSpliced(index, 1);
    }
    message();
    await ManualClock.settle();
  }

  /** Sends a heartbeat of an agent, which reaches the owner unless the agent is disconnected. */
  heartbeat(vmNumber: number): void {
    const vm = this._getVm(vmNumber);
    vm.clock.run(() => {
      vm.sequence += 1;
      vm.service.recordHeartbeat(vm.sequence);
      if (!vm.isCut) {
        vm.known = { incarnation: String(vm.incarnation), sequence: vm.sequence };
      }
    });
  }

  /** Sends a heartbeat of each agent, then advances the time. */
  async advance(ms: number): Promise<void> {
    this._vms.forEach((_, number) => {
      this.heartbeat(number);
    });
    await this.clock.advance(ms);
    this._assertInvariants();
  }

  /** Blocks or unblocks the heartbeats and reports of an agent. */
  cut(vmNumber: number, isCut: boolean): void {
    this._getVm(vmNumber).isCut = isCut;
  }

  /** Pauses or resumes an agent. */
  async pause(vmNumber: number, isPaused: boolean): Promise<void> {
    const { clock } = this._getVm(vmNumber);
    if (isPaused) {
      clock.pause();
    } else {
      clock.resume();
    }
    await ManualClock.settle();
  }

  /** Fails the next call of a kind to a worker; with `acts` the call takes effect nevertheless. */
  fail(vmNumber: number, call: WorkerCall, acts: boolean): void {
    this._getVm(vmNumber).worker.failNext(call, acts);
  }

  /** Delays the calls of a kind to a worker; without a kind, releases all delayed calls. */
  async hold(vmNumber: number, call: WorkerCall | undefined): Promise<void> {
    const vm = this._getVm(vmNumber);
    vm.heldSince = call === undefined ? undefined : (vm.heldSince ?? this.clock.now());
    if (call !== undefined) {
      vm.worker.hold(call);
      return;
    }
    (["start", "stop", "renew", "report"] as const).forEach((kind) => {
      vm.worker.release(kind);
    });
    await ManualClock.settle();
  }

  /** Completes a task on its worker. */
  finish(taskNumber: number): void {
    const number = taskNumber % this._tasks.length;
    this._vms.forEach(({ worker }) => {
      worker.finish(`t${number}`, this._tasks[number]?.attempt ?? 0, "completed");
    });
  }

  /** Kills an agent and starts a new one in its place; its worker keeps running. */
  async restart(vmNumber: number): Promise<void> {
    const vm = this._getVm(vmNumber);
    vm.clock.kill();
    if (vm.heldSince !== undefined && this.clock.now() - vm.heldSince > MAX_ORPHAN_DELAY_MS) {
      vm.worker.dropHeld();
    }
    await this.hold(vmNumber, undefined);
    vm.incarnation += 1;
    vm.clock = new ProcessClock(this.clock);
    vm.service = this._createService(vm);
    vm.sequence = 0;
    vm.service.start();
  }

  private async _sendStart(vm: Vm, req: StartTaskRequest, task: OwnedTask): Promise<void> {
    const reply = await vm.service.startTask(req).catch(() => undefined);
    this.accepted += Number(reply?.accepted === true);
    if (reply?.accepted === false && task.attempt === req.attempt) {
      task.vm = undefined;
    }
  }

  private async _sendStop(vm: Vm, req: StopTaskRequest, task: OwnedTask): Promise<void> {
    const reply = await vm.service.stopTask(req).catch(() => undefined);
    if (reply?.stopped === true && task.attempt === req.attempt) {
      task.vm = undefined;
    }
  }

  private _getVm(number: number): Vm {
    const vm = this._vms[number % this._vms.length];
    if (vm === undefined) {
      throw new InvariantError("no VM with this number");
    }
    return vm;
  }

  private _createVm(name: string): Vm {
    const worker = new FakeWorker(this.clock, CAPACITY);
    const vm: Omit<Vm, "service"> = {
      name,
      worker,
      clock: new ProcessClock(this.clock),
      incarnation: 1,
      sequence: 0,
      known: undefined,
      isCut: false,
      heldSince: undefined,
    };
    worker.onStarted = () => {
      this._assertInvariants();
    };
    const created = Object.assign(vm, { service: this._createService(vm) });
    created.service.start();
    return created;
  }

  private _createService(vm: Omit<Vm, "service">): TaskService {
    const { clock } = vm;
    return new TaskService({
      worker: vm.worker,
      clock,
      log: new MemoryLog(),
      agent: vm.name,
      incarnation: String(vm.incarnation),
      createEntryClient: () =>
        ({
          reportTasks: (req: ReportTasksRequest) => this._report(vm, clock, req),
        }) as unknown as EntryClient,
      getOwner: () => undefined,
      getConfig: () => undefined,
      pollMs: POLL_MS,
      startDelayMs: SETTLE_MS,
    });
  }

  /** Delivers a report at once or never; the response is delayed while the agent is paused. */
  private _report(
    vm: Omit<Vm, "service">,
    clock: ProcessClock,
    req: ReportTasksRequest,
  ): Promise<ReportTasksReply> {
    if (vm.isCut) {
      return Promise.reject(new Error("cut"));
    }
    const reply = this._createReply(vm.name, req);
    return new Promise((resolve) => {
      this.clock.after(REPLY_DELAY_MS, () => {
        clock.run(() => {
          resolve(reply);
        });
      });
    });
  }

  private _createReply(vm: string, req: ReportTasksRequest): ReportTasksReply {
    const verdicts = req.tasks.map(({ task, attempt, phase }) => {
      const owned = this._tasks[Number(task.slice(1))];
      const isCurrent = owned?.attempt === attempt && owned.vm === vm;
      const isLive = phase === "running" || phase === "checkpointing";
      if (isCurrent && isLive) {
        owned.leaseExpiresBy = Math.max(owned.leaseExpiresBy, this.clock.now() + LEASE_MS);
      }
      if (isCurrent && !isLive) {
        owned.vm = undefined;
      }
      return { task, attempt, recorded: !isLive, stop: isLive && !isCurrent };
    });
    return create(ReportTasksReplySchema, { epoch: 1n, leaseMs: LEASE_MS, verdicts });
  }

  private _assertInvariants(): void {
    const running = this._vms.flatMap(({ worker }) => worker.getRunning());
    const names = running.map((text) => text.split("#")[0]);
    if (new Set(names).size < names.length) {
      throw new InvariantError(
        `a task runs on two VMs at ${this.clock.now()}: ${running.join(" ")}`,
      );
    }
    const full = this._vms.find(({ worker }) => !fits(worker.getRunningTotal(), CAPACITY));
    if (full !== undefined) {
      throw new InvariantError(`VM ${full.name} exceeds its capacity at ${this.clock.now()}`);
    }
  }
}
