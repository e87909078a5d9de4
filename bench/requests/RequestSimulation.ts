/**
 * Simulates requests in virtual time: the production code of entries and agents decides, and
 * servers are modelled by their service times alone. It measures the decisions, without sockets.
 */
import { AgentAdmission } from "../../src/coordination/requests/AgentAdmission.ts";
import type { ServerPicker } from "../../src/coordination/requests/pickers/ServerPicker.ts";
import {
  RequestRouter,
  type AttemptOutcome,
  type RouteStep,
} from "../../src/coordination/requests/RequestRouter.ts";
import type { ServerState } from "../../src/coordination/requests/ServerState.ts";
import { ServerTable } from "../../src/coordination/requests/ServerTable.ts";
import type { RandomSource } from "../../src/protocol/platform/RandomSource.ts";
import type { Refusal } from "../../src/protocol/Refusal.ts";
import { VirtualClock } from "../support/VirtualClock.ts";
import type { RequestScenario } from "./RequestScenario.ts";
import type {
  SimulatedAgent,
  SimulatedEntry,
  SimulatedRequest,
  SimulatedAttempt,
  RequestSimulationResult,
  RequestSimulationOptions,
} from "./RequestSimulationTypes.ts";
import { createHistogram } from "./createHistogram.ts";
import { createVmRecord } from "./createVmRecord.ts";
import { SimulatedTimes } from "./SimulatedTimes.ts";

const SERVICE = "rota-desk";
const TIMEOUT_MS = 1_000;
const HEARTBEAT_MS = 500;
const FAIL_FAST_MS = 0.2;
const MAX_QUEUE = 64;
const US_PER_MS = 1_000;
const MS_PER_SECOND = 1_000;
const WARM_UP_SHARE = 0.1;
const DRAIN_MS = 2_000;
const RETRY_PERCENT = 10;

/** Simulation of one scenario with one algorithm that chooses servers. */
export class RequestSimulation {
  private readonly _clock = new VirtualClock();
  private readonly _latencyUs = createHistogram();
  private readonly _refusalUs = createHistogram();
  private readonly _agents: SimulatedAgent[] = [];
  private readonly _entries: SimulatedEntry[] = [];
  private readonly _scenario: RequestScenario;
  private readonly _options: RequestSimulationOptions;
  private readonly _random: RandomSource;
  private readonly _times: SimulatedTimes;
  private _nextId = 0;
  private _nextIncarnation = 0;
  private _succeeded = 0;
  private _failed = 0;
  private _refused = 0;
  private _offered = 0;

  /**
   * Creates a simulation.
   * @param options - Deployment and traffic.
   * @param scenario - Load and faults.
   * @param random - Source of random numbers.
   * @param createPicker - Creates the server picker of an entry.
   */
  constructor(
    options: RequestSimulationOptions,
    scenario: RequestScenario,
    random: RandomSource,
    createPicker: () => ServerPicker,
  ) {
    this._options = options;
    this._scenario = scenario;
    this._random = random;
    this._times = new SimulatedTimes(options, scenario, random);
    Array.from({ length: options.entries }).forEach((_, index) => {
      this._entries.push(this._createEntry(index, createPicker()));
    });
    Array.from({ length: options.servers }).forEach((_, index) => {
      this._agents.push(this._createAgent(index));
    });
  }

  /** Runs the simulation to its end and returns its result. */
  run(): RequestSimulationResult {
    const { durationMs } = this._options;
    this._agents.forEach((agent) => {
      this._sendHeartbeat(agent);
    });
    this._scheduleArrival();
    this._scheduleFaults();
    this._clock.runUntil(durationMs);
    this._clock.runUntil(durationMs + DRAIN_MS);
    const seconds = (durationMs * (1 - WARM_UP_SHARE)) / MS_PER_SECOND;
    return {
      latencyUs: this._latencyUs,
      refusalUs: this._refusalUs,
      goodput: this._succeeded / seconds,
      offered: this._offered / seconds,
      failed: this._failed,
      refused: this._refused,
    };
  }

  private _createEntry(index: number, picker: ServerPicker): SimulatedEntry {
    const zone = `zone-${index % this._options.zones}`;
    const table = new ServerTable();
    const router = new RequestRouter({
      clock: this._clock,
      table,
      picker,
      random: this._random,
      zone,
      retryPercent: RETRY_PERCENT,
    });
    return { zone, table, router, isRunning: true };
  }

  private _createAgent(index: number): SimulatedAgent {
    this._nextIncarnation += 1;
    const incarnation = `i${this._nextIncarnation}`;
    const admission = new AgentAdmission({
      clock: this._clock,
      incarnation,
      maxQueue: MAX_QUEUE,
      getConfig: () => undefined,
    });
    admission.handleAnnouncement({
      service: SERVICE,
      id: `server-${index}-${incarnation}`,
      address: "127.0.0.1:1",
      slots: this._options.slots,
      connections: 64,
      inUse: 0,
      draining: false,
      processorsMilli: 0,
      memoryBytes: 0,
    });
    const zone = `zone-${index % this._options.zones}`;
    return { index, zone, incarnation, admission, sequence: 0, isStopped: false };
  }

  private _sendHeartbeat(agent: SimulatedAgent): void {
    if (agent.isStopped) {
      return;
    }
    agent.sequence += 1;
    const vm = createVmRecord(agent, this._clock.now());
    this._entries.forEach((entry) => {
      this._clock.after(this._times.getDelayMs(entry.zone, agent.zone), () => {
        entry.table.handleReport(vm);
      });
    });
    this._clock.after(HEARTBEAT_MS, () => {
      this._sendHeartbeat(agent);
    });
  }

  private _scheduleFaults(): void {
    const { killedEntry, replacePeriodMs } = this._scenario;
    if (killedEntry !== undefined) {
      this._clock.after(this._options.durationMs / 2, () => {
        const entry = this._entries[killedEntry];
        if (entry !== undefined) {
          entry.isRunning = false;
        }
      });
    }
    if (replacePeriodMs > 0) {
      this._clock.after(replacePeriodMs, () => {
        this._replaceServer(0, replacePeriodMs);
      });
    }
  }

  /** Drains the agent of one server; half a period later, a new incarnation replaces it. */
  private _replaceServer(index: number, periodMs: number): void {
    const agent = this._agents[index];
    agent?.admission.drain();
    if (agent !== undefined) {
      agent.isStopped = true;
      agent.sequence += 1;
      const vm = createVmRecord(agent, this._clock.now());
      this._entries.forEach((entry) => {
        entry.table.handleReport(vm);
      });
    }
    const replacement = this._createAgent(index);
    this._clock.after(periodMs / 2, () => {
      this._agents[index] = replacement;
      this._sendHeartbeat(replacement);
    });
    this._clock.after(periodMs, () => {
      this._replaceServer((index + 1) % this._options.servers, periodMs);
    });
  }

  private _scheduleArrival(): void {
    const { servers, slots, meanServiceMs, durationMs } = this._options;
    if (this._clock.now() >= durationMs) {
      return;
    }
    const ratePerMs = (this._scenario.load * servers * slots) / meanServiceMs;
    this._clock.after(-Math.log(1 - this._random.next()) / ratePerMs, () => {
      this._startRequest();
      this._scheduleArrival();
    });
  }

  private _startRequest(): void {
    const running = this._entries.filter((entry) => entry.isRunning);
    const entry = running[this._random.nextInt(running.length)];
    if (entry === undefined) {
      return;
    }
    this._nextId += 1;
    const startedAt = this._clock.now();
    const routed = { service: SERVICE, idempotent: false, deadline: startedAt + TIMEOUT_MS };
    const progress = RequestRouter.createProgress();
    const req = { id: String(this._nextId), entry, routed, progress, startedAt };
    this._offered += this._isAfterWarmUp(req) ? 1 : 0;
    this._applyStep(req, entry.router.routeFirst(routed, progress));
  }

  private _applyStep(req: SimulatedRequest, step: RouteStep): void {
    if (step.kind === "answer") {
      this._recordRefusal(req);
      return;
    }
    const { server } = step;
    const sentAt = this._clock.now();
    server.recordSent();
    const agent = this._agents[Number(server.requestAddress)];
    this._clock.after(this._times.getDelayMs(req.entry.zone, server.zone), () => {
      this._deliver(req, server, agent, sentAt);
    });
  }

  private _deliver(
    req: SimulatedRequest,
    server: ServerState,
    agent: SimulatedAgent | undefined,
    sentAt: number,
  ): void {
    if (agent === undefined) {
      return;
    }
    const head = {
      request: req.id,
      attempt: req.progress.attempts,
      service: SERVICE,
      tenant: "default",
      requestClass: "normal",
      budgetMs: req.routed.deadline - sentAt,
      incarnation: server.incarnation,
      sender: "entry",
      sentAt,
    };
    const refuse = (refusal: Refusal): void => {
      this._clock.after(this._times.getDelayMs(req.entry.zone, agent.zone), () => {
        this._handleRefusal(req, server, refusal);
      });
    };
    const decision = agent.admission.handleArrival(head);
    if (decision.kind === "refused") {
      refuse(decision.refusal);
      return;
    }
    agent.admission.enqueue(head, decision, {
      refuse,
      admit: (local) => {
        this._serve(req, { server, agent, local, key: decision.key, sentAt });
      },
    });
  }

  private _serve(req: SimulatedRequest, simulated: SimulatedAttempt): void {
    const { server, agent, local, key, sentAt } = simulated;
    const fails = this._random.next() < this._scenario.getFailureShare(agent.index);
    const serviceMs = fails
      ? FAIL_FAST_MS
      : this._times.drawServiceMs(agent.index, this._clock.now());
    this._clock.after(serviceMs, () => {
      const load = local.queue.inUse - 1;
      const { queued } = local.queue;
      agent.admission.recordEnd(local, key, "finished");
      this._clock.after(this._times.getDelayMs(req.entry.zone, agent.zone), () => {
        const now = this._clock.now();
        server.recordEnd();
        server.recordLatency(now - sentAt);
        server.updateLoad(load, queued);
        if (fails) {
          server.ejector.recordFailure(now);
        } else {
          server.ejector.recordSuccess(now);
        }
        this._recordResult(req, fails);
      });
    });
  }

  private _handleRefusal(req: SimulatedRequest, server: ServerState, refusal: Refusal): void {
    server.recordEnd();
    server.ejector.recordInconclusive();
    const outcome: AttemptOutcome = { ...refusal };
    this._applyStep(req, req.entry.router.routeNext(req.routed, req.progress, outcome));
  }

  private _recordResult(req: SimulatedRequest, failed: boolean): void {
    if (!this._isAfterWarmUp(req)) {
      return;
    }
    if (failed) {
      this._failed += 1;
      return;
    }
    this._succeeded += 1;
    this._latencyUs.recordValue(Math.round((this._clock.now() - req.startedAt) * US_PER_MS));
  }

  private _recordRefusal(req: SimulatedRequest): void {
    if (!this._isAfterWarmUp(req)) {
      return;
    }
    this._refused += 1;
    this._refusalUs.recordValue(Math.round((this._clock.now() - req.startedAt) * US_PER_MS));
  }

  private _isAfterWarmUp(req: { readonly startedAt: number }): boolean {
    return req.startedAt >= this._options.durationMs * WARM_UP_SHARE;
  }
}
