/**
 * Task service with an in-memory worker, a manual clock and a simulated partition owner.
 */
import { create, type MessageInitShape } from "@bufbuild/protobuf";
import { TaskService } from "../../src/transport/agent/tasks/TaskService.ts";
import type {
  EntryClient,
  TaskServiceOptions,
} from "../../src/transport/agent/tasks/TaskServiceOptions.ts";
import {
  ReportTasksReplySchema,
  StartTaskRequestSchema,
  StopTaskRequestSchema,
  type ReportTasksReply,
  type ReportTasksRequest,
  type StartTaskReply,
  type StopTaskReply,
} from "../../src/protocol/generated/fireflylb/v1/control_pb.ts";
import type { Resources } from "../../src/protocol/Resources.ts";
import { FakeWorker } from "./FakeWorker.ts";
import { ManualClock } from "./ManualClock.ts";
import { MemoryLog } from "./MemoryLog.ts";

/** Fields of a start or stop request that a test overrides. */
export interface OrderOverrides {
  readonly task?: string;
  readonly attempt?: number;
  readonly partition?: number;
  readonly epoch?: bigint;
  readonly resources?: Resources;
  readonly leaseMs?: number;
  readonly sequence?: bigint;
  readonly incarnation?: string;
}

export const VM_CAPACITY = { processorsMilli: 4_000, memoryBytes: 4_000, accelerators: 0 };
export const TASK_SIZE = { processorsMilli: 1_000, memoryBytes: 1_000, accelerators: 0 };
export const LEASE_MS = 6_000;

/** Creates the reply of an owner that grants a lease and returns no verdicts. */
export function createReportReply(
  overrides: MessageInitShape<typeof ReportTasksReplySchema> = {},
): ReportTasksReply {
  return create(ReportTasksReplySchema, {
    epoch: 1n,
    leaseMs: LEASE_MS,
    ...overrides,
  });
}

/** Task service under test. */
export class TaskServiceHarness {
  readonly clock = new ManualClock(1_000);
  readonly worker = new FakeWorker(this.clock, VM_CAPACITY);
  readonly log = new MemoryLog();
  readonly reports: ReportTasksRequest[] = [];
  /** Replies to task reports; a test may replace it. */
  replyToReport: (req: ReportTasksRequest) => Promise<ReportTasksReply> = () =>
    Promise.resolve(createReportReply());
  service = this.createService("i1");
  private _sequence = 0;

  /**
   * Creates a service for the worker, as a restart of the agent does.
   * @param incarnation - Incarnation of the agent.
   * @param overrides - Options that differ from the defaults.
   */
  createService(incarnation: string, overrides: Partial<TaskServiceOptions> = {}): TaskService {
    const client = {
      reportTasks: (req: ReportTasksRequest): Promise<ReportTasksReply> => {
        this.reports.push(req);
        return this.replyToReport(req);
      },
    } as unknown as EntryClient;
    return new TaskService({
      worker: this.worker,
      clock: this.clock,
      log: this.log,
      agent: "agent",
      incarnation,
      createEntryClient: () => client,
      getOwner: () => undefined,
      getConfig: () => undefined,
      pollMs: 500,
      startDelayMs: 1_000,
      ...overrides,
    });
  }

  /** Starts the service and waits until it accepts starts. */
  async startUntilReady(): Promise<this> {
    this.service.start();
    await this.clock.advance(1_600);
    return this;
  }

  /** Records a heartbeat and returns its sequence number. */
  sendHeartbeat(): number {
    this._sequence += 1;
    this.service.recordHeartbeat(this._sequence);
    return this._sequence;
  }

  /**
   * Requests the start of a task.
   * @param overrides - Fields that differ from the defaults.
   */
  async startTask(overrides: OrderOverrides = {}): Promise<StartTaskReply> {
    const reply = this.service.startTask(
      create(StartTaskRequestSchema, {
        task: "t",
        attempt: 1,
        partition: 1,
        epoch: 1n,
        ownerAddress: "owner",
        resources: TASK_SIZE,
        leaseMs: LEASE_MS,
        incarnation: "i1",
        kind: "kind",
        tenant: "tenant",
        expiresMs: 2_000,
        sequence: BigInt(this.sendHeartbeat()),
        ...overrides,
      }),
    );
    await ManualClock.settle();
    return await reply;
  }

  /**
   * Requests the stop of a task.
   * @param overrides - Fields that differ from the defaults.
   */
  async stopTask(
    overrides: OrderOverrides & { readonly checkpoint?: boolean } = {},
  ): Promise<StopTaskReply> {
    const { task = "t", attempt = 1, epoch = 1n, checkpoint = false } = overrides;
    const req = { task, attempt, partition: 1, epoch, checkpoint, reason: "ordered" };
    return await this.service.stopTask(create(StopTaskRequestSchema, req));
  }
}
