/**
 * The role `agent`: creates the components of an agent, starts them in order, and shuts them down
 * without cutting off requests in flight.
 */
import { create } from "@bufbuild/protobuf";
import type { ConnectRouter } from "@connectrpc/connect";
import { err, ok, type Result } from "neverthrow";
import { ActiveConfig } from "../../coordination/config/ActiveConfig.ts";
import { ReportTargets } from "../../coordination/ReportTargets.ts";
import { AgentAdmission } from "../../coordination/requests/AgentAdmission.ts";
import type { ListenError } from "../../protocol/errors/errors.ts";
import {
  AgentControl,
  HeartbeatRequestSchema,
  SettleRequestReplySchema,
  type HeartbeatReply,
  type HeartbeatRequest,
  type PartitionOwner,
  type SettleRequestReply,
  type SettleRequestRequest,
} from "../../protocol/generated/fireflylb/v1/control_pb.ts";
import type { AgentSettings } from "../../protocol/settings/AgentSettings.ts";
import { RequestHistograms } from "../../state/metrics/RequestHistograms.ts";
import { ControlServer } from "../control/ControlServer.ts";
import { EntryClients } from "../control/EntryClients.ts";
import { writeServer } from "../control/fleetMessages.ts";
import { PeerConfigs } from "../entry/PeerConfigs.ts";
import type { ApiRoute } from "../http/ApiRoute.ts";
import { ApiServer } from "../http/ApiServer.ts";
import { PromMetrics } from "../http/PromMetrics.ts";
import { PinoLog } from "../log/PinoLog.ts";
import { runProcess } from "../runProcess.ts";
import { SystemClock } from "../platform/SystemClock.ts";
import { HttpWorker } from "../worker/HttpWorker.ts";
import { AnnouncementRoutes } from "./AnnouncementRoutes.ts";
import { HeartbeatSender } from "./HeartbeatSender.ts";
import { AgentRequestServer } from "./requests/AgentRequestServer.ts";
import { TaskService } from "./tasks/TaskService.ts";
import { YieldService } from "./yielding/YieldService.ts";

const CONFIG_TIMEOUT_MS = 2_000;
const WORKER_TIMEOUT_MS = 2_000;
const CLOSE_TIMEOUT_MS = 2_000;
const DRAIN_POLL_MS = 50;

/** Process with the role `agent`. */
export class AgentProcess {
  private readonly _settings: AgentSettings;
  private readonly _log: PinoLog;
  private readonly _clock = new SystemClock();
  private readonly _incarnation = crypto.randomUUID();
  private readonly _histograms = new RequestHistograms(this._clock);
  private readonly _metrics = new PromMetrics(this._histograms);
  private readonly _config = new ActiveConfig();
  private readonly _clients = new EntryClients();
  private readonly _owners = new Map<number, PartitionOwner>();
  private readonly _admission: AgentAdmission;
  private readonly _tasks: TaskService;
  private readonly _yielding: YieldService;
  private readonly _requestServer: AgentRequestServer;
  private readonly _heartbeats: HeartbeatSender;
  private readonly _controlServer: ControlServer;
  private readonly _announcements: AnnouncementRoutes;
  private readonly _localApi: ApiServer;
  private readonly _adminApi: ApiServer;
  private _isPulling = false;
  private _isDraining = false;

  /**
   * Creates the agent without starting it.
   * @param settings - Settings of the agent.
   * @param log - Log of the process.
   */
  constructor(settings: AgentSettings, log: PinoLog) {
    this._settings = settings;
    this._log = log;
    this._admission = new AgentAdmission({
      clock: this._clock,
      incarnation: this._incarnation,
      maxQueue: settings.requests.maxQueue,
      getConfig: () => this._config.getSnapshot()?.document,
    });
    this._tasks = this._createTaskService();
    this._yielding = this._createYieldService();
    this._requestServer = new AgentRequestServer({
      admission: this._admission,
      clock: this._clock,
      log: log.child("requests"),
      maxBodyBytes: settings.requests.maxBodyBytes,
      isReady: () => this._tasks.isReady(),
      onFinished: ({ tenant, requestClass, service }, latencyMs) => {
        this._histograms.record({ tenant, requestClass, service }, latencyMs);
      },
    });
    this._heartbeats = this._createHeartbeatSender();
    this._controlServer = new ControlServer((router) => {
      this._registerControl(router);
    });
    this._announcements = new AnnouncementRoutes({
      clock: this._clock,
      log: log.child("servers"),
      admission: this._admission,
      tasks: this._tasks,
      expiryMs: settings.fleet.announcementExpiryMs,
      onChange: () => void this._heartbeats.sendNow(),
    });
    this._localApi = this._createApi("[agent] local", this._announcements.getRoutes());
    this._adminApi = this._createApi("[agent] admin", []);
  }

  /** Opens the listening addresses, then starts to poll the worker and to send heartbeats. */
  async start(): Promise<Result<void, ListenError>> {
    const { agent } = this._settings;
    const results = [
      await this._controlServer.listen(agent.control, "[agent] control"),
      await this._requestServer.listen(agent.listen),
      await this._localApi.listen(agent.local),
      await this._adminApi.listen(agent.admin),
    ];
    const failed = results.find((result) => result.isErr());
    if (failed?.isErr() === true) {
      return err(failed.error);
    }
    this._tasks.start();
    this._yielding.start();
    this._heartbeats.start();
    this._log.info("Agent started.", { name: agent.name, zone: agent.zone });
    return ok(undefined);
  }

  /**
   * Shuts down gracefully: rejects new work, waits for requests in flight, and stops all tasks with
   * a checkpoint.
   */
  async stop(): Promise<void> {
    const deadline = this._clock.now() + this._settings.agent.drainTimeoutMs;
    this._isDraining = true;
    this._admission.drain();
    this._log.info("Agent is draining.", { requests: this._admission.countOpenRequests() });
    await this._heartbeats.sendNow();
    await Promise.all([this._waitForRequests(deadline), this._tasks.stop()]);
    this._yielding.stop();
    this._heartbeats.stop();
    this._announcements.stop();
    await Promise.race([
      Promise.all([this._requestServer.close(), this._controlServer.close()]),
      this._clock.sleep(CLOSE_TIMEOUT_MS),
    ]);
    await Promise.all([
      this._localApi.close(CLOSE_TIMEOUT_MS),
      this._adminApi.close(CLOSE_TIMEOUT_MS),
    ]);
    this._log.info("Agent ended.", { requests: this._admission.countOpenRequests() });
  }

  private async _waitForRequests(deadline: number): Promise<void> {
    while (this._admission.countOpenRequests() > 0 && this._clock.now() < deadline) {
      await this._clock.sleep(DRAIN_POLL_MS);
    }
  }

  private _createTaskService(): TaskService {
    const { agent, worker } = this._settings;
    return new TaskService({
      worker: new HttpWorker({ address: worker.address, timeoutMs: WORKER_TIMEOUT_MS }),
      clock: this._clock,
      log: this._log.child("tasks"),
      agent: agent.name,
      incarnation: this._incarnation,
      createEntryClient: (address) => this._clients.getClient(address),
      getOwner: (partition) => this._getOwner(partition),
      getConfig: () => this._config.getSnapshot(),
      getStartHold: (order) => this._yielding.findStartHold(order),
      pollMs: worker.pollMs,
      drainTimeoutMs: agent.drainTimeoutMs,
    });
  }

  private _createYieldService(): YieldService {
    const { name, zone } = this._settings.agent;
    return new YieldService({
      vm: name,
      zone,
      clock: this._clock,
      log: this._log.child("yielding"),
      tasks: this._tasks,
      getConfig: () => this._config.getSnapshot(),
    });
  }

  private _createHeartbeatSender(): HeartbeatSender {
    return new HeartbeatSender({
      clock: this._clock,
      log: this._log.child("heartbeat"),
      targets: new ReportTargets(this._settings.agent.entries),
      clients: this._clients,
      intervalMs: this._settings.fleet.heartbeatMs,
      onSend: (sequence) => {
        this._tasks.recordHeartbeat(sequence);
      },
      createHeartbeat: (sequence) => this._createHeartbeat(sequence),
      onReply: (reply, entry) => {
        this._handleReply(reply, entry);
      },
    });
  }

  private _createHeartbeat(sequence: bigint): HeartbeatRequest {
    const { agent } = this._settings;
    const heatLevel = this._tasks.getHeatLevel();
    const servers = this._admission.getServers().map((server) => server.collectReport());
    this._yielding.recordServerReports(servers);
    return create(HeartbeatRequestSchema, {
      agent: agent.name,
      incarnation: this._incarnation,
      sequence,
      region: agent.region,
      zone: agent.zone,
      rack: agent.rack,
      requestAddress: agent.advertise ?? agent.listen,
      controlAddress: agent.advertiseControl ?? agent.control,
      capacity: { ...this._tasks.getCapacity() },
      committed: { ...this._tasks.getCommitted() },
      used: { ...this._tasks.getUsed() },
      servers: servers.map(writeServer),
      draining: this._isDraining || !this._tasks.isReady(),
      configRevision: BigInt(this._config.getRevision() ?? 0),
      tasks: this._tasks.getTasks().length,
      startHold: this._yielding.getStartHold(),
      urgentMayStart: this._yielding.mayStartUrgent(),
      ...(heatLevel === undefined ? {} : { heatLevel }),
    });
  }

  private _handleReply(reply: HeartbeatReply, entry: string): void {
    reply.owners.forEach((owner) => {
      const known = this._owners.get(owner.partition);
      if (known === undefined || owner.epoch >= known.epoch) {
        this._owners.set(owner.partition, owner);
      }
    });
    const known = this._config.getRevision();
    if (known === undefined || Number(reply.configRevision) > known) {
      void this._pullConfig(entry);
    }
  }

  private async _pullConfig(entry: string): Promise<void> {
    if (this._isPulling) {
      return;
    }
    this._isPulling = true;
    try {
      const reply = await this._clients
        .getClient(entry)
        .getConfig({}, { timeoutMs: CONFIG_TIMEOUT_MS });
      const snapshot = PeerConfigs.parseReply(reply);
      if (snapshot !== undefined && this._config.applyIfNewer(snapshot)) {
        this._log.child("config").info("Configuration in force.", { revision: snapshot.revision });
        void this._heartbeats.sendNow();
      }
    } catch (reason) {
      this._log
        .child("config")
        .debug(
          "The configuration could not be fetched; it is tried again after the next heartbeat.",
          { reason: String(reason) },
        );
    } finally {
      this._isPulling = false;
    }
  }

  private _getOwner(partition: number): { controlAddress: string; epoch: number } | undefined {
    const owner = this._owners.get(partition);
    return owner === undefined
      ? undefined
      : { controlAddress: owner.controlAddress, epoch: Number(owner.epoch) };
  }

  private _registerControl(router: ConnectRouter): void {
    router.service(AgentControl, {
      settleRequest: (req) => this._settleRequest(req),
      startTask: (req) => this._tasks.startTask(req),
      stopTask: (req) => this._tasks.stopTask(req),
      throttleTask: (req) => this._tasks.throttleTask(req),
      getConfig: (req) => PeerConfigs.createReply(this._config, req),
      explainVm: () => ({ explanation: JSON.stringify(this._yielding.getExplanation()) }),
    });
  }

  private _settleRequest(req: SettleRequestRequest): SettleRequestReply {
    const verdict = this._admission.settle(req.request, req.attempt, req.incarnation);
    return create(SettleRequestReplySchema, { verdict });
  }

  private _createApi(setting: string, routes: readonly ApiRoute[]): ApiServer {
    return new ApiServer({
      setting,
      routes,
      renderMetrics: () => this._renderMetrics(),
      getUnreadyReasons: () => this._getUnreadyReasons(),
      log: this._log,
    });
  }

  private _renderMetrics(): Promise<string> {
    const { processorsMilli, memoryBytes, accelerators } = this._tasks.getCommitted();
    this._metrics.set("fireflylb_requests_in_flight", this._admission.countOpenRequests());
    this._metrics.set("fireflylb_config_revision", this._config.getRevision() ?? 0);
    this._metrics.set("fireflylb_tasks", this._tasks.getTasks().length, { state: "held" });
    this._metrics.set("fireflylb_committed_processors_milli", processorsMilli);
    this._metrics.set("fireflylb_committed_memory_bytes", memoryBytes);
    this._metrics.set("fireflylb_committed_accelerators", accelerators);
    return this._metrics.render();
  }

  private _getUnreadyReasons(): readonly string[] {
    return [
      ...(this._isDraining ? ["the agent is draining"] : []),
      ...(this._tasks.isReady() ? [] : ["the worker has not reported its tasks yet"]),
      ...(this._config.getSnapshot() === undefined ? ["no configuration yet"] : []),
    ];
  }
}

/**
 * Runs an agent until it receives SIGTERM or SIGINT.
 * @param settings - Settings of the agent.
 */
export async function runAgent(settings: AgentSettings): Promise<void> {
  const log = PinoLog.create(settings.log.level, settings.agent.name);
  await runProcess(new AgentProcess(settings, log), log);
}
