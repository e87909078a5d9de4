/**
 * Converts between the messages of the PoolAgent service and the types of the scheduler.
 */
import { create, type MessageInitShape } from "@bufbuild/protobuf";
import { Code, ConnectError } from "@connectrpc/connect";
import type {
  AgentReport,
  FormerEnds,
  ObserveCall,
  OrderCall,
  OrderFailure,
  OrderReport,
  RunResult,
  WorkerReport,
} from "../../coordination/pool/AgentChannel.ts";
import type { Resources } from "../../protocol/Resources.ts";
import {
  ObserveReplySchema,
  ObserveRequestSchema,
  OrderReplySchema,
  OrderRequestSchema,
  type ObserveReply,
  type ObserveRequest,
  type OrderReply,
  type OrderRequest,
  type PoolEndedRun,
  type PoolFormerEnds,
  type PoolRunResult,
  type PoolWorkerState,
  type PoolWorkerStateSchema,
} from "../../protocol/generated/fireflylb/v1/pool_pb.ts";
import type { EndedRun, RunOutcome } from "../../protocol/platform/PoolWorker.ts";
import type { AgentReply } from "./AgentStream.ts";

/** Longest wait that a call may request, in milliseconds; workers accept no longer one. */
const MAX_WAIT_MS = 2_000;

/** Writes an observe call into its request. */
export function writeObserveRequest(call: ObserveCall): ObserveRequest {
  const { leaseUntilMs, epoch, knownProcess, ...others } = call;
  return create(ObserveRequestSchema, {
    ...others,
    epoch: BigInt(epoch),
    knownAgentIncarnation: knownProcess,
    leaseUntilMs: leaseUntilMs ?? 0,
  });
}

/** Reads an observe call from its request. */
export function readObserveRequest(req: ObserveRequest): ObserveCall {
  const { worker, ackedEnd, knownVersion, knownAgentIncarnation: knownProcess } = req;
  const epoch = readWholeNumber("epoch", req.epoch);
  const requestedUntilMs = readFinite("lease_until_ms", req.leaseUntilMs);
  const leaseUntilMs = requestedUntilMs > 0 ? requestedUntilMs : undefined;
  const waitMs = Math.min(req.waitMs, MAX_WAIT_MS);
  return { epoch, worker, leaseUntilMs, ackedEnd, knownVersion, knownProcess, waitMs };
}

/** Writes the report of an agent into the reply to an observe call. */
export function writeObserveReply(report: AgentReport): ObserveReply {
  const { worker, version, process: agentIncarnation, formerEnds, crashes } = report;
  return create(ObserveReplySchema, {
    agentIncarnation,
    version,
    formerEnds: formerEnds.map((former) => ({ worker: former.worker, ended: [...former.ended] })),
    crashes: crashes.map((crash) => ({ worker: crash.worker, runs: [...crash.runs] })),
    ...(worker === undefined ? {} : { worker: writeWorker(worker) }),
  });
}

/** Reads the report of an agent from the reply to an observe call. */
export function readObserveReply(reply: ObserveReply): AgentReport {
  const { agentIncarnation, version, worker } = reply;
  return {
    process: agentIncarnation,
    version,
    worker: worker && readWorker(worker),
    formerEnds: reply.formerEnds.map(readFormerEnds),
    crashes: reply.crashes,
  };
}

/** Writes an order call into its request. */
export function writeOrderRequest(call: OrderCall): OrderRequest {
  return create(OrderRequestSchema, {
    epoch: BigInt(call.epoch),
    worker: call.worker,
    leaseUntilMs: call.leaseUntilMs,
    ...writeResources(call.capacity),
    starts: [...call.starts],
    stops: [...call.stops],
    paces: [...call.paces],
  });
}

/** Reads an order call from its request. */
export function readOrderRequest(req: OrderRequest): OrderCall {
  const { worker, starts, stops, paces } = req;
  const epoch = readWholeNumber("epoch", req.epoch);
  const leaseUntilMs = readFinite("lease_until_ms", req.leaseUntilMs);
  const capacity = readResources(req);
  return { epoch, worker, leaseUntilMs, capacity, starts, stops, paces };
}

/** Writes the results of orders into the reply to an order call. */
export function writeOrderReply(report: OrderReport): OrderReply {
  const write = ({ task, run, failure }: RunResult): RunResultInit => ({
    task,
    run,
    failure: failure ?? "",
  });
  return create(OrderReplySchema, {
    agentIncarnation: report.process,
    callNumber: report.callNumber,
    starts: report.starts.map(write),
    stops: report.stops.map(write),
    paces: report.paces.map(write),
  });
}

/** Reads the results of orders from the reply to an order call. */
export function readOrderReply(reply: OrderReply): OrderReport {
  return {
    process: reply.agentIncarnation,
    callNumber: reply.callNumber,
    starts: reply.starts.map(readResult),
    stops: reply.stops.map(readResult),
    paces: reply.paces.map(readResult),
  };
}

/** Resources as messages have them. */
interface ResourceFields {
  readonly processorsMilli: bigint;
  readonly memoryBytes: bigint;
  readonly accelerators: number;
}

function writeResources(resources: Resources): ResourceFields {
  return {
    processorsMilli: BigInt(resources.processorsMilli),
    memoryBytes: BigInt(resources.memoryBytes),
    accelerators: resources.accelerators,
  };
}

function readResources(fields: ResourceFields): Resources {
  return {
    processorsMilli: readWholeNumber("processors_milli", fields.processorsMilli),
    memoryBytes: readWholeNumber("memory_bytes", fields.memoryBytes),
    accelerators: fields.accelerators,
  };
}

/** Returns nothing: a reply of another kind, or an error that the agent replied, is thrown. */
export function failUnexpected({ case: kind, value }: AgentReply): never {
  throw new ConnectError(
    kind === "error" ? value : `unexpected reply ${String(kind)}`,
    Code.Internal,
  );
}

interface RunResultInit {
  readonly task: string;
  readonly run: number;
  readonly failure: string;
}

function readResult({ task, run, failure }: PoolRunResult): RunResult {
  return { task, run, failure: readFailure(failure) };
}

/** Reads why an order failed; agents of a former version say "fenced" for a scheduler of a later epoch. */
function readFailure(failure: string): OrderFailure | undefined {
  if (failure === "") {
    return undefined;
  }
  return failure === "fenced" ? "superseded" : (failure as OrderFailure);
}

function writeWorker(report: WorkerReport): MessageInitShape<typeof PoolWorkerStateSchema> {
  const { capacity, labels, running, ended, isConfirmed, ...others } = report;
  return {
    ...others,
    confirmed: isConfirmed,
    labels: [...labels],
    ...writeResources(capacity),
    running: [...running],
    ended: [...ended],
  };
}

function readWorker(state: PoolWorkerState): WorkerReport {
  const { worker, pool, zone, rack, draining, labels } = state;
  const { callNumber, answers, running, mayLackEnds } = state;
  running.forEach(({ percent, measure }) => {
    readFinite("percent", percent);
    readFinite("measure", measure);
  });
  return {
    worker,
    isConfirmed: state.confirmed,
    pool,
    zone,
    rack,
    draining,
    drainRemainingMs: readFinite("drain_remaining_ms", state.drainRemainingMs),
    labels,
    clockMs: readFinite("clock_ms", state.clockMs),
    readingAgeMs: readFinite("reading_age_ms", state.readingAgeMs),
    callNumber,
    answers,
    running,
    mayLackEnds,
    capacity: readResources(state),
    ended: state.ended.map(readEnded),
  };
}

/** Reads a number that must be exact; throws if it is not. */
function readWholeNumber(field: string, value: bigint): number {
  if (value > BigInt(Number.MAX_SAFE_INTEGER)) {
    throw new ConnectError(`${field} is too large: ${value}`, Code.InvalidArgument);
  }
  return Number(value);
}

/** Reads a time or another number with fractions; throws if nothing can be computed with it. */
function readFinite(field: string, value: number): number {
  if (!(Math.abs(value) <= Number.MAX_SAFE_INTEGER)) {
    throw new ConnectError(`${field} is out of bounds: ${value}`, Code.InvalidArgument);
  }
  return value;
}

function readFormerEnds({ worker, ended }: PoolFormerEnds): FormerEnds {
  return { worker, ended: ended.map(readEnded) };
}

function readEnded(ended: PoolEndedRun): EndedRun {
  return { ...ended, outcome: ended.outcome as RunOutcome };
}
