/**
 * The agent's decisions on requests: it refuses what is meant for another incarnation, was seen
 * before, comes too late, or cannot be served in time, and settles for entries whether an attempt
 * has run.
 */
import type { ClassLimit, ConfigDocument } from "../../protocol/config/ConfigDocument.ts";
import type { Clock } from "../../protocol/platform/Clock.ts";
import type { Refusal, RefusalCode } from "../../protocol/Refusal.ts";
import type { RequestHead } from "../../protocol/RequestHead.ts";
import type { ServerAnnouncement } from "../../protocol/ServerAnnouncement.ts";
import type { Verdict } from "../../protocol/Verdict.ts";
import { LocalServer } from "./LocalServer.ts";
import { AttemptRegistry } from "./AttemptRegistry.ts";
import { TransitDelayEstimator } from "./TransitDelayEstimator.ts";

const RETRY_AFTER_SECONDS = 1;
/** Priority of a class that the configuration does not name; lower goes first. */
const DEFAULT_PRIORITY = 50;

/** What an attempt gets when it arrives. */
export type ArrivalDecision =
  | { readonly kind: "open"; readonly key: string; readonly deadline: number }
  | { readonly kind: "refused"; readonly refusal: Refusal };

/** Calls back with what becomes of an attempt. */
export interface AdmissionCallbacks {
  readonly admit: (server: LocalServer) => void;
  readonly refuse: (refusal: Refusal) => void;
}

/** Admission of requests at one agent. */
export class AgentAdmission {
  private readonly _clock: Clock;
  private readonly _incarnation: string;
  private readonly _maxQueue: number;
  private readonly _getConfig: () => ConfigDocument | undefined;
  private readonly _attempts = new AttemptRegistry();
  private readonly _transitDelays = new TransitDelayEstimator();
  private readonly _servers = new Map<string, LocalServer>();
  private _draining = false;

  /**
   * Creates the admission.
   * @param deps - What it decides with.
   */
  constructor(deps: {
    readonly clock: Clock;
    readonly incarnation: string;
    /** Most requests that wait at one server, over all classes. */
    readonly maxQueue: number;
    readonly getConfig: () => ConfigDocument | undefined;
  }) {
    this._clock = deps.clock;
    this._incarnation = deps.incarnation;
    this._maxQueue = deps.maxQueue;
    this._getConfig = deps.getConfig;
  }

  /** Whether the agent takes no new work. */
  get draining(): boolean {
    return this._draining;
  }

  /** Gives the backend servers of this VM. */
  getServers(): readonly LocalServer[] {
    return [...this._servers.values()];
  }

  /** Number of requests that wait or run. */
  countOpenRequests(): number {
    return this.getServers().reduce(
      (sum, server) => sum + server.queue.inUse + server.queue.queued,
      0,
    );
  }

  /** Stops taking new work; what waits is refused, what runs goes on. */
  drain(): void {
    this._draining = true;
    this.getServers().forEach((server) => {
      server.queue.drain();
    });
  }

  /**
   * Takes in the announcement of a backend server.
   * @param announcement - The announcement.
   * @returns Whether something changed that entries should hear of at once.
   */
  handleAnnouncement(announcement: ServerAnnouncement): boolean {
    const known = this._servers.get(announcement.id);
    if (known?.announcement.address !== announcement.address) {
      this._servers.set(announcement.id, new LocalServer(this._clock, announcement));
      return true;
    }
    const wasDraining = known.draining;
    known.handleAnnouncement(announcement);
    if (this._draining) {
      known.queue.drain();
    }
    return wasDraining !== known.draining;
  }

  /**
   * Ends the servers that have been silent for too long; one without open requests is dropped.
   * @param expiryMs - Silence allowed, in milliseconds.
   * @returns Ids of the servers that were dropped.
   */
  expireServers(expiryMs: number): readonly string[] {
    const silent = this.getServers().filter(
      (server) => server.announcedAt < this._clock.now() - expiryMs,
    );
    silent.forEach((server) => {
      server.expire();
    });
    const dropped = silent.filter((server) => server.queue.inUse === 0);
    dropped.forEach((server) => this._servers.delete(server.announcement.id));
    return dropped.map((server) => server.announcement.id);
  }

  /**
   * Decides on an attempt that arrives; an open one is to be offered once its body is there.
   * @param head - Head of the request.
   */
  handleArrival(head: RequestHead): ArrivalDecision {
    const now = this._clock.now();
    const delayMs = this._transitDelays.estimateDelay(head.sender, head.sentAt, now);
    const key = AttemptRegistry.getKey(head.request, head.attempt);
    if (head.incarnation !== this._incarnation) {
      return AgentAdmission._refuse("wrong-incarnation", "the agent has been restarted");
    }
    if (this._draining) {
      return AgentAdmission._refuse("draining", "the agent is shutting down");
    }
    if (delayMs >= head.budgetMs) {
      return AgentAdmission._refuse("deadline-exceeded", "the budget ended on the way");
    }
    if (!this._attempts.register(key, now)) {
      return this._refuseDuplicate(key);
    }
    return { kind: "open", key, deadline: now + head.budgetMs - delayMs };
  }

  /**
   * Offers an open attempt to a backend server of its service.
   * @param head - Head of the request.
   * @param attempt - Decision that opened the attempt.
   * @param callbacks - Called once with what becomes of it.
   */
  enqueue(
    head: RequestHead,
    attempt: { readonly key: string; readonly deadline: number },
    callbacks: AdmissionCallbacks,
  ): void {
    const refuse = (refusal: Refusal): void => {
      this._attempts.markRefused(attempt.key, this._clock.now());
      callbacks.refuse(refusal);
    };
    if (this._attempts.getPhase(attempt.key) !== "queued") {
      refuse(
        AgentAdmission._createRefusal("duplicate-request", "the entry has given the attempt up"),
      );
      return;
    }
    const server = this._pickServer(head.service);
    if (server === undefined) {
      refuse(
        AgentAdmission._createRefusal("no-server", `no backend server of ${head.service} here`),
      );
      return;
    }
    const limit = this._getClassLimit(head.requestClass);
    server.queue.offer({
      key: attempt.key,
      deadline: attempt.deadline,
      priority: limit?.priority ?? DEFAULT_PRIORITY,
      queueLimit: Math.min(this._maxQueue, limit?.queueLimit ?? this._maxQueue),
      admit: () => {
        this._attempts.markRunning(attempt.key);
        server.recordStart(attempt.key);
        callbacks.admit(server);
      },
      refuse,
    });
  }

  /**
   * Gives up an attempt whose entry has gone away; one that runs goes on.
   * @param key - Identity of the attempt.
   */
  abandon(key: string): void {
    if (this._attempts.getPhase(key) !== "queued") {
      return;
    }
    this._withdraw(key);
    this._attempts.markRefused(key, this._clock.now());
  }

  /**
   * Notes that an attempt has ended at its server.
   * @param server - The server.
   * @param key - Identity of the attempt.
   * @param end - How it ended: never sent, finished, or broken off while the server may go on.
   */
  recordEnd(server: LocalServer, key: string, end: "unsent" | "finished" | "detached"): void {
    const now = this._clock.now();
    if (end === "unsent") {
      this._attempts.markRefused(key, now);
    } else {
      this._attempts.markFinished(key, now);
    }
    server.recordEnd(key, end === "detached");
  }

  /**
   * Settles whether an attempt has run; after "not-run" it never will.
   * @param request - Id of the request.
   * @param attempt - Number of the attempt.
   * @param incarnation - Incarnation to which the attempt was sent.
   */
  settle(request: string, attempt: number, incarnation: string): Verdict {
    if (incarnation !== this._incarnation) {
      return "may-have-run";
    }
    const now = this._clock.now();
    const key = AttemptRegistry.getKey(request, attempt);
    if (this._attempts.getPhase(key) === "queued") {
      this._withdraw(key);
      this._attempts.block(key, now);
    }
    return this._attempts.settle(key, now);
  }

  private _withdraw(key: string): boolean {
    return this.getServers().some((server) => server.queue.withdraw(key));
  }

  private _pickServer(service: string): LocalServer | undefined {
    let best: LocalServer | undefined;
    this._servers.forEach((server) => {
      if (server.announcement.service !== service || server.draining) {
        return;
      }
      if (best === undefined || server.queue.load < best.queue.load) {
        best = server;
      }
    });
    return best;
  }

  private _getClassLimit(requestClass: string): ClassLimit | undefined {
    return this._getConfig()?.classes[requestClass];
  }

  private _refuseDuplicate(key: string): ArrivalDecision {
    const phase = this._attempts.getPhase(key);
    const notRun = phase === "blocked" || phase === "refused";
    return {
      kind: "refused",
      refusal: {
        code: "duplicate-request",
        verdict: notRun ? "not-run" : "may-have-run",
        detail: "the attempt was seen before",
      },
    };
  }

  private static _refuse(code: RefusalCode, detail: string): ArrivalDecision {
    return { kind: "refused", refusal: AgentAdmission._createRefusal(code, detail) };
  }

  private static _createRefusal(code: RefusalCode, detail: string): Refusal {
    return { code, verdict: "not-run", detail, retryAfterSeconds: RETRY_AFTER_SECONDS };
  }
}
