/**
 * Channel to one agent whose reports a test sets; orders are recorded and succeed.
 */
import {
  AgentChannel,
  type AgentOutcome,
  type AgentReport,
  type ObserveCall,
  type OrderCall,
  type OrderReport,
  type RunOrder,
  type WorkerCrash,
  type WorkerReport,
} from "../../../src/coordination/pool/AgentChannel.ts";
import { createWorkerReport } from "../../support/poolFixtures.ts";
import type { ManualClock } from "../../support/ManualClock.ts";

/** Channel to one agent, whose reports the test sets. */
export class ScriptedChannel extends AgentChannel {
  /** Number of the agent's last call of its worker, as the results of orders name it. */
  orderCallNumber = createWorkerReport().callNumber;
  /** Process of the agent that executes orders; undefined for the one that reports. */
  orderProcess: string | undefined;
  /** Orders to start and stop runs, in the order in which they arrived. */
  readonly starts: RunOrder[] = [];
  readonly stops: RunOrder[] = [];
  /** Number up to which the last call of the scheduler acknowledged ended runs, by worker. */
  readonly ackedEnds = new Map<string, number>();
  /** Longest wait for a change that the last call of the scheduler asked for, in milliseconds. */
  lastWaitMs = 0;
  private readonly _clock: ManualClock;
  private _report: AgentReport = {
    process: "a",
    version: 1,
    worker: createWorkerReport(),
    formerEnds: [],
    crashes: [],
  };

  /**
   * Creates a channel whose agent reports a worker without runs.
   * @param clock - Clock of the test.
   */
  constructor(clock: ManualClock) {
    super();
    this._clock = clock;
  }

  /**
   * Sets the report of the agent.
   * @param process - Identity of its process.
   * @param worker - The worker; undefined if none has announced itself.
   * @param crashes - Crashes of former incarnations.
   */
  setReport(
    process: string,
    worker: WorkerReport | undefined,
    crashes: readonly WorkerCrash[] = [],
  ): void {
    this._report = {
      process,
      version: this._report.version + 1,
      worker,
      formerEnds: [],
      crashes,
    };
  }

  override async observe(_: string, call: ObserveCall): Promise<AgentOutcome<AgentReport>> {
    this.ackedEnds.set(call.worker, call.ackedEnd);
    this.lastWaitMs = call.waitMs;
    const until = this._clock.now() + call.waitMs;
    while (call.knownVersion === this._report.version && this._clock.now() < until) {
      await this._clock.sleep(10);
    }
    return { kind: "answered", value: this._report };
  }

  override async order(_: string, call: OrderCall): Promise<AgentOutcome<OrderReport>> {
    this.starts.push(...call.starts.map(({ task, run }) => ({ task, run })));
    this.stops.push(...call.stops.map(({ task, run }) => ({ task, run })));
    await this._clock.sleep(1);
    const toResult = ({ task, run }: RunOrder) => ({
      task,
      run,
      failure: undefined,
    });
    const [starts, stops, paces] = [call.starts, call.stops, call.paces].map((orders) =>
      orders.map(toResult),
    );
    return {
      kind: "answered",
      value: {
        process: this.orderProcess ?? this._report.process,
        callNumber: this.orderCallNumber,
        starts: starts ?? [],
        stops: stops ?? [],
        paces: paces ?? [],
      },
    };
  }

  override reset(): void {
    // There is no connection.
  }
}
