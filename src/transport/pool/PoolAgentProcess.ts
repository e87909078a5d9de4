/**
 * The role `agent` for a worker that belongs to a pool: registers the agent in the store, listens
 * for the worker's announcements, and serves the calls of the pool's scheduler.
 */
import { err, ok, type Result } from "neverthrow";
import { PoolWorkerAgent } from "../../coordination/pool/PoolWorkerAgent.ts";
import type { ListenError } from "../../protocol/errors/errors.ts";
import type { Log } from "../../protocol/platform/Log.ts";
import type { PoolWorker } from "../../protocol/platform/PoolWorker.ts";
import type { Store } from "../../protocol/platform/Store.ts";
import type { PoolAgentSettings } from "../../protocol/settings/PoolAgentSettings.ts";
import { getAgentKey } from "../../state/pool/PoolKeys.ts";
import type { AgentRecord } from "../../state/pool/records.ts";
import { ControlServer } from "../control/ControlServer.ts";
import { SystemClock } from "../platform/SystemClock.ts";
import { PoolAgentService } from "./PoolAgentService.ts";

/** Delay before the registration is retried, in milliseconds. */
const REGISTER_RETRY_MS = 200;
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
  /** Revision of the registration in the store; 0 before there is one. */
  private _registration = 0;
  private _isStopped = false;

  /**
   * Creates the agent without starting it.
   * @param deps - Dependencies that the platform adapter provides.
   */
  constructor(deps: PoolAgentDependencies) {
    this._deps = deps;
    const { worker, log } = deps;
    const clock = this._clock;
    this._workerAgent = new PoolWorkerAgent({
      worker,
      clock,
      log: log.child("worker"),
      process: this._processId,
      onRegistrationDue: () => {
        void this._register(this._registration);
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
    this._isStopped = true;
    this._workerAgent.stop();
    const controlClosed = Promise.all([this._service.close(), this._controlServer.close()]);
    const closed = Promise.all([this._listener.close(), controlClosed]);
    await Promise.race([closed, this._clock.sleep(CLOSE_TIMEOUT_MS)]);
    this._deps.log.info("Agent ended.");
  }

  /**
   * Replaces the registration of an earlier process, or of this one; retries until the store holds the
   * new one.
   * @param formerRevision - Revision of the registration to replace, if it is of this process.
   */
  private async _register(formerRevision = 0): Promise<void> {
    const { settings, store, log } = this._deps;
    const { name, zone, pool, control: address } = settings.agent;
    const record: AgentRecord = { address, zone, pool, process: this._processId };
    const key = getAgentKey(name);
    while (!this._isStopped) {
      const read = await store.read(key);
      const expected = read.isOk() ? (read.value?.revision ?? 0) : undefined;
      const value = JSON.stringify(record);
      if (read.isOk() && read.value?.value === value && read.value.revision > formerRevision) {
        this._registration = read.value.revision;
        this._workerAgent.register(this._registration);
        log.info("The agent is registered in the store.", { key, revision: this._registration });
        return;
      }
      const written =
        expected === undefined ? undefined : await store.write({ key, value, expected });
      if (written?.isOk() !== true) {
        log.warn("The agent could not be registered in the store; the registration is retried.", {
          key,
        });
        await this._clock.sleep(REGISTER_RETRY_MS);
      }
    }
  }
}
