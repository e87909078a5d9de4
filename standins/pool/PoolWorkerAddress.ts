/**
 * Stand-in for the address of a worker: calls go to the incarnation that is there, or was there
 * last. The agent that uses the address does not change with the incarnation.
 */
import type { ResultAsync } from "neverthrow";
import {
  PoolWorker,
  type RunCall,
  type StartCall,
  type SyncCall,
  type WorkerCallFailure,
  type WorkerRuns,
} from "../../src/protocol/platform/PoolWorker.ts";

/** Address at which one incarnation of a worker follows the other. */
export class PoolWorkerAddress extends PoolWorker {
  /** The incarnation that is there. */
  worker: PoolWorker;

  /**
   * Creates an address.
   * @param worker - First worker at the address.
   */
  constructor(worker: PoolWorker) {
    super();
    this.worker = worker;
  }

  override sync(call: SyncCall): ResultAsync<WorkerRuns, WorkerCallFailure> {
    return this.worker.sync(call);
  }

  override start(call: StartCall): ResultAsync<void, WorkerCallFailure> {
    return this.worker.start(call);
  }

  override stop(call: RunCall): ResultAsync<void, WorkerCallFailure> {
    return this.worker.stop(call);
  }

  override pace(call: RunCall, percent: number): ResultAsync<void, WorkerCallFailure> {
    return this.worker.pace(call, percent);
  }
}
