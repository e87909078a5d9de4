/**
 * Stand-in for the address of a worker: each call reaches the incarnation that is there at that
 * time.
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
   * @param worker - The first incarnation.
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
