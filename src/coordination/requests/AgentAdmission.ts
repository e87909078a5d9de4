/**
 * Admission of requests at the agent. Rejects an attempt that was sent to another incarnation of
 * the agent, is a duplicate, has exceeded its deadline in transit, or cannot be served in time.
 * Also settles, for the entries, whether an attempt has run.
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
/** Priority of a class that the configuration does not name; lower values are served first. */
const DEFAULT_PRIORITY = 50;

/** Decision on an attempt on arrival. */
export type ArrivalDecision =
  | { readonly kind: "open"; readonly key: string; readonly deadline: number }
  | { readonly kind: "refused"; readonly refusal: Refusal };

/** Callbacks for the outcome of a queued attempt; exactly one of them is called. */
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
   * Creates the admission control of an agent without backend servers.
   * @param deps - Dependencies and limits.
   */
  constructor(deps: {
    readonly clock: Clock;
    readonly incarnation: string;
    /** Maximum number of requests queued at one backend server, over all classes. */
    readonly maxQueue: number;
    readonly getConfig: () => ConfigDocument | undefined;
  }) {
    this._clock = deps.clock;
    this._incarnation = deps.incarnation;
    this._maxQueue = deps.maxQueue;
    this._getConfig = deps.getConfig;
  }

  /** Whether the agent accepts no new requests. */
  get draining(): boolean {
    return this._draining;
  }

  /** Gets the backend servers of this VM. */
  getServers(): readonly LocalServer[] {
    return [...this._servers.values()];
  }

  /** Returns the number of requests that are queued or running. */
  countOpenRequests(): number {
    return this.getServers().reduce(
      (sum, server) => sum + server.queue.inUse + server.queue.queued,
      0,
    );
  }

  /** Stops accepting requests: queued ones are rejected, running ones continue. */
  drain(): void {
    this._draining = true;
    this.getServers().forEach((server) => {
      server.queue.drain();
    });
  }

  /**
   * Handles an announcement of a backend server. A server that is new or has a new address starts
   * with an empty queue.
   * @param announcement - The announcement.
   * @returns Whether the change should be reported to the entries immediately.
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
   * Expires servers without a recent announcement and removes those that have no request in flight.
   * @param expiryMs - Time without an announcement after which a server expires, in milliseconds.
   * @returns Ids of the removed servers.
   */
  expireServers(expiryMs: number): readonly string[] {
    const expired = this.getServers().filter(
      (server) => server.announcedAt < this._clock.now() - expiryMs,
    );
    expired.forEach((server) => {
      server.expire();
    });
    const removed = expired.filter((server) => server.queue.inUse === 0);
    removed.forEach((server) => this._servers.delete(server.announcement.id));
    return removed.map((server) => server.announcement.id);
  }

  /**
   * Decides on an attempt whose head has arrived. An open attempt must be passed to `enqueue` once
   * its body has been received.
   * @param head - Head of the request.
   */
  handleArrival(head: RequestHead): ArrivalDecision {
    const now = this._clock.now();
    const delayMs = this._transitDelays.estimateDelay(head.sender, head.sentAt, now);
    const key = AttemptRegistry.getKey(head.request, head.attempt);
    if (head.incarnation !== this._incarnation) {
      return AgentAdmission._refuse(
        "wrong-incarnation",
        "the attempt was sent to another incarnation of the agent",
      );
    }
    if (this._draining) {
      return AgentAdmission._refuse("draining", "the agent is shutting down");
    }
    if (delayMs >= head.budgetMs) {
      return AgentAdmission._refuse("deadline-exceeded", "the time budget was exceeded in transit");
    }
    if (!this._attempts.register(key, now)) {
      return this._refuseDuplicate(key);
    }
    return { kind: "open", key, deadline: now + head.budgetMs - delayMs };
  }

  /**
   * Queues an open attempt at the least loaded backend server of its service.
   * @param head - Head of the request.
   * @param attempt - The open decision that `handleArrival` returned.
   * @param callbacks - Notified once of the outcome.
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
        AgentAdmission._createRefusal(
          "duplicate-request",
          "the entry abandoned or settled the attempt while its body arrived",
        ),
      );
      return;
    }
    const server = this._pickServer(head.service);
    if (server === undefined) {
      refuse(
        AgentAdmission._createRefusal(
          "no-server",
          `no backend server of service ${head.service} on this VM accepts requests`,
        ),
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
   * Abandons an attempt whose entry has disconnected. Has no effect on an attempt that is already
   * running.
   * @param key - Key of the attempt.
   */
  abandon(key: string): void {
    if (this._attempts.getPhase(key) !== "queued") {
      return;
    }
    this._withdraw(key);
    this._attempts.markRefused(key, this._clock.now());
  }

  /**
   * Records that an attempt has ended at its backend server and frees its slot.
   * @param server - The server.
   * @param key - Key of the attempt.
   * @param end - How it ended: never sent, finished, or aborted while the server may still be
   * processing it.
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
   * Determines whether an attempt has run. After "not-run" it is guaranteed never to run.
   * @param request - Id of the request.
   * @param attempt - Number of the attempt.
   * @param incarnation - Agent incarnation that the attempt was sent to.
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
        detail: "the attempt is a duplicate",
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
