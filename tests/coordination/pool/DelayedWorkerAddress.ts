/**
 * Address of a worker as one process of its agent calls it, over a network with delays. A call that
 * times out may be carried out later, by the incarnation that is there then.
 */
import { errAsync, ResultAsync, type Result } from "neverthrow";
import type { Clock } from "../../../src/protocol/platform/Clock.ts";
import {
  PoolWorker,
  type RunCall,
  type StartCall,
  type SyncCall,
  type WorkerCallFailure,
  type WorkerRuns,
} from "../../../src/protocol/platform/PoolWorker.ts";
import type { PoolWorkerAddress } from "../../../standins/pool/PoolWorkerAddress.ts";
import { PoolWorkerModel } from "../../../standins/pool/PoolWorkerModel.ts";
import type { MessageKind, SimulatedNetwork } from "./SimulatedNetwork.ts";

/** Timeout of a call beyond the wait that it requests, in milliseconds. */
const TIMEOUT_MS = 500;
const NO_RESPONSE: WorkerCallFailure = { kind: "unknown", detail: "no response in time" };
const OTHER_WORKER: WorkerCallFailure = { kind: "wrong-worker", detail: "status 421" };

/** Address of a worker for one process of its agent. */
export class DelayedWorkerAddress extends PoolWorker {
  private _isClosed = false;
  private readonly _address: PoolWorkerAddress;
  private readonly _agent: string;
  private readonly _network: SimulatedNetwork;
  private readonly _clock: Clock;

  /**
   * Creates an address.
   * @param address - The address.
   * @param agent - Name of the agent.
   * @param network - Network between both.
   * @param clock - Clock of the timeouts.
   */
  constructor(address: PoolWorkerAddress, agent: string, network: SimulatedNetwork, clock: Clock) {
    super();
    this._address = address;
    this._agent = agent;
    this._network = network;
    this._clock = clock;
  }

  /** Notes that the process has ended: it calls nothing and gets no response any more. */
  close(): void {
    this._isClosed = true;
  }

  override sync(call: SyncCall): ResultAsync<WorkerRuns, WorkerCallFailure> {
    return this._call("list", call.worker, call.waitMs, (worker) => worker.sync(call));
  }

  override start(call: StartCall): ResultAsync<void, WorkerCallFailure> {
    return this._call("run-order", call.worker, 0, (worker) => worker.start(call));
  }

  override stop(call: RunCall): ResultAsync<void, WorkerCallFailure> {
    return this._call("run-order", call.worker, 0, (worker) => worker.stop(call));
  }

  override pace(call: RunCall, percent: number): ResultAsync<void, WorkerCallFailure> {
    return this._call("run-order", call.worker, 0, (worker) => worker.pace(call, percent));
  }

  private _call<T>(
    kind: "list" | "run-order",
    id: string,
    waitMs: number,
    send: (worker: PoolWorker) => ResultAsync<T, WorkerCallFailure>,
  ): ResultAsync<T, WorkerCallFailure> {
    return new ResultAsync(this._race(kind, id, waitMs, send));
  }

  private async _race<T>(
    kind: "list" | "run-order",
    id: string,
    waitMs: number,
    send: (worker: PoolWorker) => ResultAsync<T, WorkerCallFailure>,
  ): Promise<Result<T, WorkerCallFailure>> {
    if (this._hasEnded()) {
      return new Promise(() => undefined);
    }
    const timeout = this._clock.sleep(TIMEOUT_MS + waitMs).then(() => errAsync(NO_RESPONSE));
    const outcome = await Promise.race([this._carryOut(kind, id, send), timeout]);
    return this._hasEnded() ? new Promise(() => undefined) : outcome;
  }

  private async _carryOut<T>(
    kind: "list" | "run-order",
    id: string,
    send: (worker: PoolWorker) => ResultAsync<T, WorkerCallFailure>,
  ): Promise<Result<T, WorkerCallFailure>> {
    const replyKind: MessageKind = `${kind}-reply`;
    await this._network.transfer(kind, [this._agent]);
    const { worker } = this._address;
    const isOther = worker instanceof PoolWorkerModel && !worker.isDead && worker.id !== id;
    const outcome = isOther ? await errAsync(OTHER_WORKER) : await send(worker);
    await this._network.transfer(replyKind, [this._agent]);
    return outcome;
  }

  private _hasEnded(): boolean {
    return this._isClosed;
  }
}
