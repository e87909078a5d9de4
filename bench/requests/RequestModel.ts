/**
 * Drives the entries' and the agents' decisions on requests in virtual time, with servers that only
 * take time. It measures decisions, not sockets.
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
  ModelAgent,
  ModelEntry,
  ModelRequest,
  ModelService,
  RequestModelResult,
  RequestModelShape,
} from "./RequestModelTypes.ts";
import { createHistogram } from "./createHistogram.ts";
import { describeAgent } from "./describeAgent.ts";
import { ModelTimes } from "./ModelTimes.ts";

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

/** One run. */
export class RequestModel {
  private readonly _clock = new VirtualClock();
  private readonly _latency = createHistogram();
  private readonly _refusal = createHistogram();
  private readonly _agents: ModelAgent[] = [];
  private readonly _entries: ModelEntry[] = [];
  private readonly _scenario: RequestScenario;
  private readonly _shape: RequestModelShape;
  private readonly _random: RandomSource;
  private readonly _times: ModelTimes;
  private _nextId = 0;
  private _nextIncarnation = 0;
  private _good = 0;
  private _failed = 0;
  private _refused = 0;
  private _offered = 0;

  /**
   * Creates a run.
   * @param shape - Deployment and traffic.
   * @param scenario - The situation.
   * @param random - Source of random numbers.
   * @param createPicker - Makes the way to choose for each entry.
   */
  constructor(
    shape: RequestModelShape,
    scenario: RequestScenario,
    random: RandomSource,
    createPicker: () => ServerPicker,
  ) {
    this._shape = shape;
    this._scenario = scenario;
    this._random = random;
    this._times = new ModelTimes(shape, scenario, random);
    Array.from({ length: shape.entries }).forEach((_, index) => {
      this._entries.push(this._createEntry(index, createPicker()));
    });
    Array.from({ length: shape.servers }).forEach((_, index) => {
      this._agents.push(this._createAgent(index));
    });
  }

  /** Runs to the end and gives the figures. */
  run(): RequestModelResult {
    const { durationMs } = this._shape;
    this._agents.forEach((agent) => {
      this._beat(agent);
    });
    this._arrive();
    this._scheduleTroubles();
    this._clock.run(durationMs);
    this._clock.run(durationMs + DRAIN_MS);
    const seconds = (durationMs * (1 - WARM_UP_SHARE)) / MS_PER_SECOND;
    return {
      latencyUs: this._latency,
      refusalUs: this._refusal,
      goodput: this._good / seconds,
      offered: this._offered / seconds,
      failed: this._failed,
      refused: this._refused,
    };
  }

  private _createEntry(index: number, picker: ServerPicker): ModelEntry {
    const zone = `zone-${index % this._shape.zones}`;
    const table = new ServerTable();
    const router = new RequestRouter({
      clock: this._clock,
      table,
      picker,
      random: this._random,
      zone,
      retryPercent: RETRY_PERCENT,
    });
    return { zone, table, router, alive: true };
  }

  private _createAgent(index: number): ModelAgent {
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
      slots: this._shape.slots,
      connections: 64,
      inUse: 0,
      draining: false,
      processorsMilli: 0,
      memoryBytes: 0,
    });
    const zone = `zone-${index % this._shape.zones}`;
    return { index, zone, incarnation, admission, sequence: 0, gone: false };
  }

  private _beat(agent: ModelAgent): void {
    if (agent.gone) {
      return;
    }
    agent.sequence += 1;
    const vm = describeAgent(agent, this._clock.now());
    this._entries.forEach((entry) => {
      this._clock.after(this._times.getDelayMs(entry.zone, agent.zone), () => {
        entry.table.handleReport(vm);
      });
    });
    this._clock.after(HEARTBEAT_MS, () => {
      this._beat(agent);
    });
  }

  private _scheduleTroubles(): void {
    const { killedEntry, replacePeriodMs } = this._scenario;
    if (killedEntry !== undefined) {
      this._clock.after(this._shape.durationMs / 2, () => {
        const entry = this._entries[killedEntry];
        if (entry !== undefined) {
          entry.alive = false;
        }
      });
    }
    if (replacePeriodMs > 0) {
      this._clock.after(replacePeriodMs, () => {
        this._replace(0, replacePeriodMs);
      });
    }
  }

  /** Drains one server; its VM comes back as a new incarnation. */
  private _replace(index: number, periodMs: number): void {
    const agent = this._agents[index];
    agent?.admission.drain();
    if (agent !== undefined) {
      agent.gone = true;
      agent.sequence += 1;
      const vm = describeAgent(agent, this._clock.now());
      this._entries.forEach((entry) => {
        entry.table.handleReport(vm);
      });
    }
    const fresh = this._createAgent(index);
    this._clock.after(periodMs / 2, () => {
      this._agents[index] = fresh;
      this._beat(fresh);
    });
    this._clock.after(periodMs, () => {
      this._replace((index + 1) % this._shape.servers, periodMs);
    });
  }

  private _arrive(): void {
    const { servers, slots, meanServiceMs, durationMs } = this._shape;
    if (this._clock.now() >= durationMs) {
      return;
    }
    const ratePerMs = (this._scenario.load * servers * slots) / meanServiceMs;
    this._clock.after(-Math.log(1 - this._random.next()) / ratePerMs, () => {
      this._begin();
      this._arrive();
    });
  }

  private _begin(): void {
    const alive = this._entries.filter((entry) => entry.alive);
    const entry = alive[this._random.below(alive.length)];
    if (entry === undefined) {
      return;
    }
    this._nextId += 1;
    const startedAt = this._clock.now();
    const routed = { service: SERVICE, idempotent: false, deadline: startedAt + TIMEOUT_MS };
    const progress = RequestRouter.createProgress();
    const req = { id: String(this._nextId), entry, routed, progress, startedAt };
    this._offered += this._isWarm(req) ? 1 : 0;
    this._follow(req, entry.router.routeFirst(routed, progress));
  }

  private _follow(req: ModelRequest, step: RouteStep): void {
    if (step.kind === "answer") {
      this._refuse(req);
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
    req: ModelRequest,
    server: ServerState,
    agent: ModelAgent | undefined,
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
        this._takeRefusal(req, server, refusal);
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

  private _serve(req: ModelRequest, at: ModelService): void {
    const { server, agent, local, key, sentAt } = at;
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
        this._finish(req, fails);
      });
    });
  }

  private _takeRefusal(req: ModelRequest, server: ServerState, refusal: Refusal): void {
    server.recordEnd();
    server.ejector.recordInconclusive();
    const outcome: AttemptOutcome = { ...refusal };
    this._follow(req, req.entry.router.routeNext(req.routed, req.progress, outcome));
  }

  private _finish(req: ModelRequest, failed: boolean): void {
    if (!this._isWarm(req)) {
      return;
    }
    if (failed) {
      this._failed += 1;
      return;
    }
    this._good += 1;
    this._latency.recordValue(Math.round((this._clock.now() - req.startedAt) * US_PER_MS));
  }

  private _refuse(req: ModelRequest): void {
    if (!this._isWarm(req)) {
      return;
    }
    this._refused += 1;
    this._refusal.recordValue(Math.round((this._clock.now() - req.startedAt) * US_PER_MS));
  }

  private _isWarm(req: { readonly startedAt: number }): boolean {
    return req.startedAt >= this._shape.durationMs * WARM_UP_SHARE;
  }
}
