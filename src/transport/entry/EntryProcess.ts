/**
 * The role `entry`: creates the services of an entry, starts them in order and stops them without
 * interrupting requests in flight.
 */
import type { ConnectRouter } from "@connectrpc/connect";
import { err, ok, type Result } from "neverthrow";
import type { EntryRegistration } from "../../coordination/batch/EntryMembership.ts";
import { ActiveConfig } from "../../coordination/config/ActiveConfig.ts";
import { DEFAULT_BATCH_SETTINGS } from "../../coordination/batch/BatchSettings.ts";
import { FairSharePlacer } from "../../coordination/placement/FairSharePlacer.ts";
import { LeastLatencyPicker } from "../../coordination/requests/pickers/LeastLatencyPicker.ts";
import { RequestRouter } from "../../coordination/requests/RequestRouter.ts";
import { ServerTable } from "../../coordination/requests/ServerTable.ts";
import type { ListenError } from "../../protocol/errors/errors.ts";
import { EntryControl } from "../../protocol/generated/fireflylb/v1/control_pb.ts";
import type { Store } from "../../protocol/platform/Store.ts";
import type { EntrySettings } from "../../protocol/settings/EntrySettings.ts";
import { FleetView } from "../../state/FleetView.ts";
import { RequestTraces, type RequestTrace } from "../../state/RequestTraces.ts";
import { ConfigRoutes } from "../config/ConfigRoutes.ts";
import { ConfigWatcher } from "../config/ConfigWatcher.ts";
import { ConfigWriter } from "../config/ConfigWriter.ts";
import { ControlServer } from "../control/ControlServer.ts";
import { EntryClients } from "../control/EntryClients.ts";
import { ApiServer } from "../http/ApiServer.ts";
import { PinoLog } from "../log/PinoLog.ts";
import { runProcess } from "../runProcess.ts";
import { SystemClock } from "../platform/SystemClock.ts";
import { SystemRandom } from "../platform/SystemRandom.ts";
import { CountingStore } from "../store/CountingStore.ts";
import { HttpStore } from "../store/HttpStore.ts";
import { BatchService } from "./batch/BatchService.ts";
import { EntryMetrics } from "./EntryMetrics.ts";
import { EntryRoutes } from "./EntryRoutes.ts";
import { FleetService } from "./FleetService.ts";
import { PeerConfigs } from "./PeerConfigs.ts";
import { AgentConnections } from "./requests/AgentConnections.ts";
import { EntryRequestServer } from "./requests/EntryRequestServer.ts";
import { explainAgent } from "./explainAgent.ts";
import { RequestSettler } from "./requests/RequestSettler.ts";

const API_CLOSE_TIMEOUT_MS = 2_000;

/** Process of one entry. */
export class EntryProcess {
  private readonly _settings: EntrySettings;
  private readonly _log: PinoLog;
  private readonly _clock = new SystemClock();
  private readonly _random = new SystemRandom();
  private readonly _metrics = new EntryMetrics(this._clock);
  private readonly _traces = new RequestTraces();
  private readonly _fleet = new FleetView();
  private readonly _table = new ServerTable();
  private readonly _activeConfig = new ActiveConfig();
  private readonly _clients = new EntryClients();
  private readonly _connections = new AgentConnections();
  private readonly _store: Store;
  private readonly _watcher: ConfigWatcher;
  private readonly _batch: BatchService;
  private readonly _fleetService: FleetService;
  private readonly _requests: EntryRequestServer;
  private readonly _control: ControlServer;
  private readonly _api: ApiServer;
  private _isDraining = false;

  /**
   * Creates the entry without starting it.
   * @param settings - Settings of the entry.
   * @param log - Log of the process.
   */
  constructor(settings: EntrySettings, log: PinoLog) {
    this._settings = settings;
    this._log = log;
    const { address, timeoutMs } = settings.store;
    this._store = new CountingStore(new HttpStore({ address, timeoutMs }), this._metrics.counters);
    this._watcher = this._createWatcher();
    this._batch = this._createBatch();
    this._fleetService = this._createFleetService();
    this._requests = this._createRequests();
    this._control = new ControlServer((router) => {
      this._registerControl(router);
    });
    this._api = this._createApi();
  }

  /** Starts the listeners, the configuration watch, the fleet service and batch scheduling. */
  async start(): Promise<Result<void, ListenError>> {
    const { entry } = this._settings;
    const control = await this._control.listen(entry.control, "[entry] control");
    const api = await this._api.listen(entry.api);
    const requests = await this._requests.listen(entry.listen);
    const failed = [control, api, requests].find((result) => result.isErr());
    if (failed?.isErr() === true) {
      return err(failed.error);
    }
    this._watcher.start();
    this._fleetService.start();
    void this._batch.start();
    this._log.info("Entry started.", { name: entry.name, zone: entry.zone });
    return ok(undefined);
  }

  /**
   * Stops gracefully: hands the partitions over, waits for the requests in flight up to the drain
   * timeout, then closes the listeners.
   */
  async stop(): Promise<void> {
    const { drainNoticeMs: noticeMs, drainTimeoutMs: timeoutMs } = this._settings.entry;
    this._isDraining = true;
    this._requests.drain();
    this._log.info("Entry is draining.", { requests: this._requests.inFlight });
    await Promise.all([this._batch.stop(), this._clock.sleep(noticeMs)]);
    await Promise.race([this._requests.close(), this._clock.sleep(timeoutMs)]);
    this._watcher.stop();
    this._fleetService.stop();
    await this._api.close(API_CLOSE_TIMEOUT_MS);
    await Promise.race([this._control.close(), this._clock.sleep(API_CLOSE_TIMEOUT_MS)]);
    this._log.info("Entry ended.", { requests: this._requests.inFlight });
  }

  private _createWatcher(): ConfigWatcher {
    const peers = new PeerConfigs(this._clients, this._connections, this._fleet, () =>
      this._getEntries(),
    );
    return new ConfigWatcher({
      store: this._store,
      activeConfig: this._activeConfig,
      clock: this._clock,
      random: this._random,
      log: this._log,
      fetchPeerSnapshots: () => peers.fetchSnapshots(this._settings.entry.name),
    });
  }

  private _createBatch(): BatchService {
    return new BatchService({
      cfg: { ...DEFAULT_BATCH_SETTINGS, ...this._settings.batch },
      entry: this._getIdentity(),
      store: this._store,
      clock: this._clock,
      random: this._random,
      log: this._log.child("batch"),
      fleet: this._fleet,
      placer: new FairSharePlacer({ random: this._random }),
      getConfig: () => this._activeConfig.getSnapshot(),
      onCommitted: (records) => {
        this._metrics.recordCommitted(records);
      },
      createAgentClient: (address) => this._connections.getControlClient(address),
    });
  }

  private _createFleetService(): FleetService {
    return new FleetService({
      clock: this._clock,
      log: this._log.child("fleet"),
      entry: this._getIdentity(),
      fleet: this._fleet,
      table: this._table,
      clients: this._clients,
      intervalMs: this._settings.fleet.heartbeatMs,
      expiryMs: this._settings.fleet.expiryMs,
      getConfigRevision: () => this._activeConfig.getRevision() ?? 0,
      getEntries: () => this._getEntries(),
      getOwners: () => this._batch.getOwners(),
      isDraining: () => this._isDraining,
      onPeerRevision: (revision) => {
        this._watcher.handleRevision(revision);
      },
      onVmExpired: (vm) => {
        this._connections.drop(vm.requestAddress, vm.controlAddress);
      },
    });
  }

  private _createRequests(): EntryRequestServer {
    const { entry, requests } = this._settings;
    return new EntryRequestServer({
      clock: this._clock,
      log: this._log.child("requests"),
      connections: this._connections,
      settler: new RequestSettler(this._clock, this._connections),
      sender: `${entry.name}-${crypto.randomUUID().slice(0, 8)}`,
      router: new RequestRouter({
        clock: this._clock,
        table: this._table,
        picker: new LeastLatencyPicker(this._random),
        random: this._random,
        zone: entry.zone,
        retryPercent: requests.retryBudgetPercent,
      }),
      limits: {
        defaultTimeoutMs: requests.defaultTimeoutMs,
        maxTimeoutMs: requests.maxTimeoutMs,
        maxBodyBytes: requests.maxBodyBytes,
        maxHeaderBytes: requests.maxHeaderBytes,
        maxInFlight: requests.maxInFlight,
      },
      hasConfig: () => this._activeConfig.getSnapshot() !== undefined,
      isKnownService: (service) => this._isKnownService(service),
      onRefusal: (code) => {
        this._metrics.recordRefusal(code);
      },
      onEnd: (trace) => {
        this._recordRequest(trace);
      },
    });
  }

  private _registerControl(router: ConnectRouter): void {
    router.service(EntryControl, {
      heartbeat: (req) => this._fleetService.handleHeartbeat(req),
      exchangeDigest: (digest) => this._fleetService.handleDigest(digest),
      reportTasks: (req) => this._batch.handleReport(req),
      getConfig: (req) => PeerConfigs.createReply(this._activeConfig, req),
    });
  }

  private _createApi(): ApiServer {
    const writer = new ConfigWriter({
      store: this._store,
      activeConfig: this._activeConfig,
      clock: this._clock,
      random: this._random,
      log: this._log,
      getTimeOfDay: () => new Date().toISOString(),
    });
    const entryRoutes = new EntryRoutes({
      clock: this._clock,
      entry: this._getIdentity(),
      activeConfig: this._activeConfig,
      fleet: this._fleet,
      traces: this._traces,
      getPeerReports: () => this._fleetService.getPeerReports(),
      getInFlight: () => this._requests.inFlight,
      explainAgent: (address) => explainAgent(this._connections, address),
    });
    const config = new ConfigRoutes({
      activeConfig: this._activeConfig,
      writer,
      getProcesses: () => entryRoutes.getProcesses(),
    });
    return new ApiServer({
      setting: "[entry] api",
      routes: [...config.getRoutes(), ...this._batch.getRoutes(), ...entryRoutes.getRoutes()],
      renderMetrics: () => this._renderMetrics(),
      getUnreadyReasons: () => this._getUnreadyReasons(),
      log: this._log,
      onReply: (method, path, status) => {
        this._metrics.recordReply(method, path, status);
      },
    });
  }

  private _getIdentity(): EntryRegistration {
    const { name, zone, region, control, api } = this._settings.entry;
    return { name, zone, region, control, api };
  }

  private _getEntries(): readonly EntryRegistration[] {
    return this._batch.getEntries();
  }

  private _isKnownService(service: string): boolean {
    const assignments = this._activeConfig.getSnapshot()?.document.assignments ?? {};
    return this._table.getServers(service).length > 0 || Object.hasOwn(assignments, service);
  }

  private _recordRequest(trace: RequestTrace): void {
    this._traces.add(trace);
    this._metrics.recordRequest(trace);
  }

  private _renderMetrics(): Promise<string> {
    return this._metrics.render({
      clock: this._clock,
      fleet: this._fleet,
      table: this._table,
      getInFlight: () => this._requests.inFlight,
      getConfigRevision: () => this._activeConfig.getRevision() ?? 0,
      getOwnedPartitions: () => this._batch.getOwnedPartitions(),
    });
  }

  private _getUnreadyReasons(): readonly string[] {
    return [
      ...(this._isDraining ? ["the entry is draining"] : []),
      ...(this._activeConfig.getSnapshot() === undefined ? ["no configuration yet"] : []),
    ];
  }
}

/**
 * Runs an entry until the process receives a termination signal.
 * @param settings - Settings of the entry.
 */
export async function runEntry(settings: EntrySettings): Promise<void> {
  const log = PinoLog.create(settings.log.level, settings.entry.name);
  await runProcess(new EntryProcess(settings, log), log);
}
