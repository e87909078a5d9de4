/**
 * Worker that records the calls of its agent and can leave them without a response, though it may
 * have executed them.
 */
import { errAsync, okAsync, type ResultAsync } from "neverthrow";
import {
  PoolWorker,
  type StartCall,
  type SyncCall,
  type WorkerCallFailure,
  type WorkerRuns,
} from "../../src/protocol/platform/PoolWorker.ts";
import type { Clock } from "../../src/protocol/platform/Clock.ts";

const NO_RESPONSE: WorkerCallFailure = { kind: "unknown", detail: "no response" };

/** Worker whose lists the test sets; without runs at first. */
export class SilentWorker extends PoolWorker {
  readonly syncs: SyncCall[] = [];
  readonly starts: StartCall[] = [];
  isSilent = false;
  /** Time that the next calls take, in milliseconds. */
  callMs = 100;
  /** Lists that the worker returns. */
  lists: WorkerRuns = {
    ...{ clockMs: 0, startedAtMs: undefined, running: [], ended: [], mayLackEnds: false },
  };
  private readonly _clock: Clock;

  /**
   * Creates a worker.
   * @param clock - Clock of the test.
   */
  constructor(clock: Clock) {
    super();
    this._clock = clock;
  }

  override sync(call: SyncCall): ResultAsync<WorkerRuns, WorkerCallFailure> {
    this.syncs.push(call);
    const { lists, callMs } = this;
    return okAsync(undefined)
      .map(() => this._clock.sleep(callMs))
      .andThen(() => (this.isSilent ? errAsync(NO_RESPONSE) : okAsync(lists)));
  }

  override start(call: StartCall): ResultAsync<void, WorkerCallFailure> {
    this.starts.push(call);
    return okAsync(undefined)
      .map(() => this._clock.sleep(this.callMs))
      .andThen(() => (this.isSilent ? errAsync(NO_RESPONSE) : okAsync(undefined)));
  }

  override stop(): ResultAsync<void, WorkerCallFailure> {
    return okAsync(undefined);
  }

  override pace(): ResultAsync<void, WorkerCallFailure> {
    return okAsync(undefined);
  }
}
