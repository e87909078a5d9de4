/**
 * Executes the orders of a scheduler at the worker of an agent. An order without a response is sent
 * again; its result is unknown unless the worker has executed a repetition.
 */
import { errAsync, type ResultAsync } from "neverthrow";
import type {
  PoolWorker,
  RunCall,
  WorkerAnnouncement,
  WorkerCallFailure,
} from "../../protocol/platform/PoolWorker.ts";
import { fits } from "../../protocol/Resources.ts";
import type { OrderCall, OrderReport, RunOrder, RunResult, StartOrder } from "./AgentChannel.ts";
import type { CrashDetector } from "./CrashDetector.ts";
import type { FencingToken } from "./FencingToken.ts";
import { formatIncarnation } from "./incarnations.ts";

/** Maximum number of attempts at an order while its outcome is unknown. */
const MAX_ORDER_TRIES = 2;

const NOT_RESPONDING: WorkerCallFailure = {
  kind: "unhealthy",
  detail: "the worker does not respond; it was not called",
};

/** Dependencies of OrderExecutor. */
export interface OrderExecutorDependencies {
  readonly worker: PoolWorker;
  readonly crashDetector: CrashDetector;
  readonly fencingToken: FencingToken;
  /** Gets the epoch that the agent follows. */
  readonly getEpoch: () => number;
  /** Gets the last announcement of the worker; undefined for none. */
  readonly getWorker: () => WorkerAnnouncement | undefined;
  /** Returns whether the worker has responded to the last call for its lists. */
  readonly isResponding: () => boolean;
}

/** Executes the orders for one worker. */
export class OrderExecutor {
  private readonly _deps: OrderExecutorDependencies;

  /**
   * Creates an executor.
   * @param deps - Dependencies.
   */
  constructor(deps: OrderExecutorDependencies) {
    this._deps = deps;
  }

  /**
   * Executes orders.
   * @param call - The orders.
   */
  async execute(call: OrderCall): Promise<Omit<OrderReport, "callNumber" | "process">> {
    const stops = call.stops.map((order) => this._stop(call, order));
    const paces = call.paces.map((pace) =>
      this._execute(call, pace, (run) => this._deps.worker.pace(run, pace.percent)),
    );
    const starts = call.starts.map((order) => this._start(call, order));
    return {
      stops: await Promise.all(stops),
      paces: await Promise.all(paces),
      starts: await Promise.all(starts),
    };
  }

  private async _start(call: OrderCall, order: StartOrder): Promise<RunResult> {
    const { task, run } = order;
    const known = this._deps.getWorker();
    if (known?.draining === true) {
      return { task, run, failure: "draining" };
    }
    // The worker has shrunk since the scheduler heard of its capacity, and may not guard it.
    if (known !== undefined && !fits(call.capacity, known.capacity)) {
      return { task, run, failure: "no-room" };
    }
    const isRepeated = this._deps.crashDetector.hasStart(order);
    const result = await this._execute(call, order, (runCall) => {
      if (!this._deps.isResponding()) {
        return errAsync(NOT_RESPONDING);
      }
      this._deps.crashDetector.recordStart(order);
      return this._deps.worker.start({ ...order, ...runCall, leaseUntilMs: call.leaseUntilMs });
    });
    // A refusal of a repeated order says nothing of the first one, which the worker may have executed.
    if (!isRepeated && result.failure !== undefined && result.failure !== "unknown") {
      this._deps.crashDetector.recordRefusal(order);
    }
    return result;
  }

  private async _stop(call: OrderCall, order: RunOrder): Promise<RunResult> {
    return this._execute(call, order, (run) => this._deps.worker.stop(run));
  }

  /** Sends an order until its outcome is known or the maximum number of attempts is reached. */
  private async _execute(
    call: OrderCall,
    { task, run }: RunOrder,
    send: (run: RunCall) => ResultAsync<void, WorkerCallFailure>,
    attemptsLeft = MAX_ORDER_TRIES,
    isRetry = false,
  ): Promise<RunResult> {
    const known = this._deps.getWorker();
    if (known === undefined || call.worker !== formatIncarnation(known.id, known.startedAtMs)) {
      return { task, run, failure: isRetry ? "unknown" : "wrong-worker" };
    }
    const { fencingToken, getEpoch } = this._deps;
    if (call.epoch !== getEpoch()) {
      return { task, run, failure: isRetry ? "unknown" : "superseded" };
    }
    const token = fencingToken.value;
    if (token === undefined) {
      return { task, run, failure: isRetry ? "unknown" : "unhealthy" };
    }
    const result = await send({ worker: known.id, fencingToken: token, task, run });
    const failure = result.isErr() ? result.error.kind : undefined;
    if (failure === "fenced") {
      fencingToken.handleRefusal(token);
      return this._execute(call, { task, run }, send, attemptsLeft, isRetry);
    }
    if (failure === "unknown") {
      // The first call that the worker answers from now on bars this one.
      fencingToken.expire(token);
    }
    if (failure === "unknown" && attemptsLeft > 1) {
      return this._execute(call, { task, run }, send, attemptsLeft - 1, true);
    }
    // An earlier attempt may still be executed, whatever the result of a later one.
    return { task, run, failure: failure !== undefined && isRetry ? "unknown" : failure };
  }
}
