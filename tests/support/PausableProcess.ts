/**
 * Simulates a process that can be paused. While it is paused, its timers do not fire, and its calls
 * to the store and to agents take effect but their responses do not reach it.
 */
import { ResultAsync, type Result } from "neverthrow";
import {
  AgentGateway,
  type StartOrder,
  type StartOutcome,
  type StopOrder,
  type StopOutcome,
} from "../../src/coordination/batch/AgentGateway.ts";
import { Clock, type Timer } from "../../src/protocol/platform/Clock.ts";
import {
  DelegatingStore,
  type StoreOperation,
} from "../../src/protocol/platform/DelegatingStore.ts";
import type { Store, StoreFailure } from "../../src/protocol/platform/Store.ts";

/** Process with its own clock, store and gateway. */
export class PausableProcess {
  readonly clock: Clock;
  readonly store: Store;
  readonly gateway: AgentGateway;
  private _resumed: Promise<void> = Promise.resolve();
  private _resume: (() => void) | undefined;

  /**
   * Creates a running process.
   * @param clock - Clock of real time.
   * @param store - Store to call.
   * @param gateway - Gateway to the agents.
   */
  constructor(clock: Clock, store: Store, gateway: AgentGateway) {
    const waitUntilResumed = (): Promise<void> => this._resumed;
    this.clock = new PausableClock(clock, waitUntilResumed);
    this.store = new PausableStore(store, waitUntilResumed);
    this.gateway = new PausableGateway(gateway, waitUntilResumed);
  }

  /** Whether the process is paused. */
  get isPaused(): boolean {
    return this._resume !== undefined;
  }

  /** Pauses the process. */
  pause(): void {
    if (this._resume === undefined) {
      this._resumed = new Promise((resolve) => {
        this._resume = resolve;
      });
    }
  }

  /** Resumes the process. */
  resume(): void {
    this._resume?.();
    this._resume = undefined;
  }
}

class PausableClock extends Clock {
  private readonly _clock: Clock;
  private readonly _waitUntilResumed: () => Promise<void>;

  constructor(clock: Clock, waitUntilResumed: () => Promise<void>) {
    super();
    this._clock = clock;
    this._waitUntilResumed = waitUntilResumed;
  }

  override now(): number {
    return this._clock.now();
  }

  override after(delayMs: number, callback: () => void): Timer {
    let cancelled = false;
    const timer = this._clock.after(delayMs, () => {
      void this._waitUntilResumed().then(() => {
        if (!cancelled) {
          callback();
        }
      });
    });
    return {
      cancel: () => {
        cancelled = true;
        timer.cancel();
      },
    };
  }
}

class PausableStore extends DelegatingStore {
  private readonly _waitUntilResumed: () => Promise<void>;

  constructor(store: Store, waitUntilResumed: () => Promise<void>) {
    super(store);
    this._waitUntilResumed = waitUntilResumed;
  }

  protected override _intercept<T>(
    _operation: StoreOperation,
    call: () => ResultAsync<T, StoreFailure>,
  ): ResultAsync<T, StoreFailure> {
    const response = call();
    const deliver = async (): Promise<Result<T, StoreFailure>> => {
      const result = await response;
      await this._waitUntilResumed();
      return result;
    };
    return new ResultAsync(deliver());
  }
}

class PausableGateway extends AgentGateway {
  private readonly _gateway: AgentGateway;
  private readonly _waitUntilResumed: () => Promise<void>;

  constructor(gateway: AgentGateway, waitUntilResumed: () => Promise<void>) {
    super();
    this._gateway = gateway;
    this._waitUntilResumed = waitUntilResumed;
  }

  override async startTask(controlAddress: string, order: StartOrder): Promise<StartOutcome> {
    const outcome = await this._gateway.startTask(controlAddress, order);
    await this._waitUntilResumed();
    return outcome;
  }

  override async stopTask(controlAddress: string, order: StopOrder): Promise<StopOutcome> {
    const outcome = await this._gateway.stopTask(controlAddress, order);
    await this._waitUntilResumed();
    return outcome;
  }
}
