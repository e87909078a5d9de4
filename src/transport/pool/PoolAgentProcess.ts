/**
 * The role `agent` for a worker that belongs to a pool: registers the agent in the store, listens
 * for the worker's announcements, and serves the calls of the pool's scheduler.
 */
import { err, ok, type Result } from "neverthrow";
import { AgentRegistration } from "../../coordination/pool/AgentRegistration.ts";
import { PoolWorkerAgent } from "../../coordination/pool/PoolWorkerAgent.ts";
import type { ListenError } from "../../protocol/errors/errors.ts";
import type { Log } from "../../protocol/platform/Log.ts";
import type { PoolWorker } from "../../protocol/platform/PoolWorker.ts";
import type { Store } from "../../protocol/platform/Store.ts";
import type { PoolAgentSettings } from "../../protocol/settings/PoolAgentSettings.ts";
import { ControlServer } from "../control/ControlServer.ts";
import { SystemClock } from "../platform/SystemClock.ts";
import { PoolAgentService } from "./PoolAgentService.ts";

const CLOSE_TIMEOUT_MS = 300;

/** Server for the worker's announcements, implemented by each platform adapter. */
export abstract class AnnouncementListener {
  /** Starts listening. */
  abstract listen(): Promise<Result<void, ListenError>>;

  /** Stops listening. */
  abstract close(): Promise<void>;
}

/** Dependencies that the platform adapter provides. */
export interface PoolAgentDependencies {
  readonly settings: PoolAgentSettings;
  readonly log: Log;
  readonly store: Store;
  readonly worker: PoolWorker;
  readonly createListener: (workerAgent: PoolWorkerAgent, log: Log) => AnnouncementListener;
}

/** Agent process of a worker in a pool. */
export class PoolAgentProcess {
  private readonly _deps: PoolAgentDependencies;
  private readonly _clock = new SystemClock();
  private readonly _processId = crypto.randomUUID();
  private readonly _workerAgent: PoolWorkerAgent;
  private readonly _service: PoolAgentService;
  private readonly _controlServer: ControlServer;
  private readonly _listener: AnnouncementListener;
  private readonly _registration: AgentRegistration;

  /**
   * Creates the agent without starting it.
   * @param deps - Dependencies that the platform adapter provides.
   */
  constructor(deps: PoolAgentDependencies) {
    this._deps = deps;
    const { settings, store, worker, log } = deps;
    const clock = this._clock;
    this._workerAgent = new PoolWorkerAgent({
      worker,
      clock,
      log: log.child("worker"),
      process: this._processId,
      onRegistrationDue: () => void this._register(),
    });
    const { name, zone, pool, control: address } = settings.agent;
    this._registration = new AgentRegistration({
      ...{ store, clock, log, name },
      record: { address, zone, pool, process: this._processId },
      onReplaced: () => {
        this._workerAgent.handleReplacement();
      },
    });
    this._service = new PoolAgentService(this._workerAgent, log);
    this._controlServer = new ControlServer((router) => {
      this._service.register(router);
    });
    this._listener = deps.createListener(this._workerAgent, log.child("announcements"));
  }

  /** Starts listening and registers the agent in the store. */
  async start(): Promise<Result<void, ListenError>> {
    const { settings, log } = this._deps;
    const control = await this._controlServer.listen(settings.agent.control, "[agent] control");
    const announcements = await this._listener.listen();
    const failed = [control, announcements].find((result) => result.isErr());
    if (failed?.isErr() === true) {
      return err(failed.error);
    }
    this._workerAgent.start();
    void this._register();
    const { name, zone, pool } = settings.agent;
    log.info("Agent started.", { name, zone, pool });
    return ok(undefined);
  }

  /** Stops the agent; leases and runs on the worker continue for the next agent process. */
  async stop(): Promise<void> {
    this._registration.stop();
    this._workerAgent.stop();
    const controlClosed = Promise.all([this._service.close(), this._controlServer.close()]);
    const closed = Promise.all([this._listener.close(), controlClosed]);
    await Promise.race([closed, this._clock.sleep(CLOSE_TIMEOUT_MS)]);
    this._deps.log.info("Agent ended.");
  }

  /** Registers the process, which then may call its worker. */
  private async _register(): Promise<void> {
    const revision = await this._registration.renew();
    if (revision !== undefined) {
      this._workerAgent.register(revision);
    }
  }
}
