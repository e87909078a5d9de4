/**
 * Converts between control messages and the agent's task records.
 */
import { create } from "@bufbuild/protobuf";
import type { StartOrder } from "../../../coordination/tasks/StartOrder.ts";
import type { TaskPhase, TaskRecord } from "../../../coordination/tasks/TaskRecord.ts";
import {
  TaskStateSchema,
  type Resources as ResourcesMessage,
  type StartTaskRequest,
  type TaskState,
} from "../../../protocol/generated/fireflylb/v1/control_pb.ts";
import { NO_RESOURCES, type Resources } from "../../../protocol/Resources.ts";

const PHASE_NAMES: Readonly<Record<TaskPhase, string>> = {
  starting: "running",
  running: "running",
  stopping: "checkpointing",
  stopped: "stopped",
  completed: "completed",
  failed: "failed",
};

/** Fields of a task in the agent's table or in a worker's response that owners are told. */
type ReportedFields = Pick<
  TaskRecord,
  "task" | "attempt" | "phase" | "checkpoint" | "reason" | "progress" | "used" | "throttlePercent"
>;

/**
 * Creates the control message with the state of a task.
 * @param record - The task.
 */
export function toTaskState(record: ReportedFields): TaskState {
  return create(TaskStateSchema, {
    task: record.task,
    attempt: record.attempt,
    phase: PHASE_NAMES[record.phase],
    checkpoint: record.checkpoint,
    reason: record.reason,
    progress: record.progress,
    used: record.used,
    throttlePercent: record.throttlePercent,
  });
}

/**
 * Reads resources from a message.
 * @param message - The message; an absent one means no resources.
 */
export function fromResources(message: ResourcesMessage | undefined): Resources {
  if (message === undefined) {
    return NO_RESOURCES;
  }
  const { processorsMilli, memoryBytes, accelerators } = message;
  return { processorsMilli, memoryBytes, accelerators };
}

/**
 * Reads a start order from a request.
 * @param req - The request.
 */
export function toStartOrder(req: StartTaskRequest): StartOrder {
  return {
    task: req.task,
    attempt: req.attempt,
    partition: req.partition,
    epoch: Number(req.epoch),
    ownerAddress: req.ownerAddress,
    resources: fromResources(req.resources),
    kind: req.kind,
    tenant: req.tenant,
    incarnation: req.incarnation,
    sequence: Number(req.sequence),
    expiresMs: req.expiresMs,
    leaseMs: req.leaseMs,
  };
}
