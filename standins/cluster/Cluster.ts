/**
 * Starts and controls the processes of a deployment for tests, the demo and benchmarks. It kills
 * them by their process ids at the end, also if the process that uses it dies.
 */
import { join } from "node:path";
import { z } from "zod";
import type { BackendEvent } from "../backend/BackendJournal.ts";
import type { FaultProxy } from "../proxy/FaultProxy.ts";
import { findFreeAddresses } from "../support/freePorts.ts";
import type { WorkerEvent } from "../worker/WorkerJournal.ts";
import { createEntry } from "./ClusterEntry.ts";
import type { ClusterEntry } from "./ClusterEntry.ts";
import { ClusterFiles } from "./ClusterFiles.ts";
import { DEFAULT_CLUSTER } from "./ClusterOptions.ts";
import type { ClusterOptions, ServiceOptions } from "./ClusterOptions.ts";
import { ClusterVmFactory } from "./ClusterVm.ts";
import type { ClusterVm } from "./ClusterVm.ts";
import { callJson } from "./httpJson.ts";
import { ManagedProcess } from "./ManagedProcess.ts";
import { ProcessGuard } from "./ProcessGuard.ts";
import { waitUntil } from "./waitUntil.ts";

const READY_TIMEOUT_MS = 30_000;
const REPOSITORY = join(import.meta.dirname, "..", "..");
const BINARY = join(REPOSITORY, "dist", "fireflylb");

const Status = z.object({
  vms: z.array(
    z.object({ agent: z.string(), draining: z.boolean(), servers: z.array(z.unknown()) }),
  ),
});

/** Store of a cluster. */
export interface ClusterStore {
  readonly address: string;
  readonly control: string;
  readonly process: ManagedProcess;
}

/** Processes of a deployment. */
export class Cluster {
  /** Directory of the settings, logs and journals. */
  readonly files = new ClusterFiles();
  readonly options: ClusterOptions;
  private readonly _guard = new ProcessGuard();
  private readonly _processes: ManagedProcess[] = [];
  private _store: ClusterStore | undefined;
  private _entries: readonly ClusterEntry[] = [];
  private _vms: readonly ClusterVm[] = [];

  private constructor(options: ClusterOptions) {
    this.options = options;
  }

  /**
   * Starts a deployment and waits until it is ready to serve requests.
   * @param options - Options that differ from the defaults.
   */
  static async start(options: Partial<ClusterOptions> = {}): Promise<Cluster> {
    const cluster = await Cluster.create(options);
    try {
      await cluster.startAll();
    } catch (err) {
      const logs = cluster.collectLogs();
      await cluster.stop();
      throw new Error(`cluster failed to start\n${logs}`, { cause: err });
    }
    return cluster;
  }

  /**
   * Creates a deployment without starting its processes.
   * @param options - Options that differ from the defaults.
   */
  static async create(options: Partial<ClusterOptions> = {}): Promise<Cluster> {
    const cluster = new Cluster({ ...DEFAULT_CLUSTER, ...options });
    await cluster._createStore();
    await cluster._createEntries();
    await cluster._createVms();
    return cluster;
  }

  /** Store of the cluster. */
  get store(): ClusterStore {
    if (this._store === undefined) {
      throw new Error("the cluster has no store");
    }
    return this._store;
  }

  /** Entries of the cluster. */
  get entries(): readonly ClusterEntry[] {
    return this._entries;
  }

  /** VMs of the cluster. */
  get vms(): readonly ClusterVm[] {
    return this._vms;
  }

  /** All processes, in start order. */
  get processes(): readonly ManagedProcess[] {
    return this._processes;
  }

  /**
   * Gets an entry.
   * @param index - Index of the entry, from 0.
   */
  getEntry(index = 0): ClusterEntry {
    const entry = this._entries[index];
    if (entry === undefined) {
      throw new Error(`the cluster has no entry ${index}`);
    }
    return entry;
  }

  /**
   * Gets a VM.
   * @param index - Index of the VM, from 0.
   */
  getVm(index = 0): ClusterVm {
    const vm = this._vms[index];
    if (vm === undefined) {
      throw new Error(`the cluster has no VM ${index}`);
    }
    return vm;
  }

  /** Starts all processes and waits until every entry lists every backend server. */
  async startAll(): Promise<void> {
    await Promise.all(this._getProxies().map((proxy) => proxy.start()));
    this.store.process.start();
    await this._waitForHealth(`http://${this.store.control}/health`, this.store.process);
    this._processes.forEach((process) => {
      process.start();
    });
    await Promise.all(this._entries.map((entry) => this.waitForEntry(entry)));
  }

  /**
   * Waits until an entry is ready and lists every backend server of the deployment.
   * @param entry - The entry.
   */
  async waitForEntry(entry: ClusterEntry): Promise<void> {
    await this._waitForHealth(`http://${entry.api}/health/ready`, entry.process);
    const wanted = this._vms.filter((vm) => vm.server !== undefined).length;
    await waitUntil(`${entry.name} lists all VMs`, READY_TIMEOUT_MS, async () => {
      const { body } = await callJson("GET", `http://${entry.api}/v1/status`);
      const ready = Status.parse(body).vms.filter((vm) => !vm.draining);
      const servers = ready.reduce((sum, vm) => sum + vm.servers.length, 0);
      return ready.length === this._vms.length && servers === wanted;
    });
  }

  /**
   * Sets faults of the store.
   * @param faults - Fields of StoreFaultsChange.
   */
  async setStoreFaults(faults: Readonly<Record<string, unknown>>): Promise<void> {
    await this._put(`http://${this.store.control}/faults`, faults);
  }

  /**
   * Sets faults of a VM's backend server.
   * @param vm - The VM.
   * @param faults - Fields of BackendFaultsChange.
   */
  async setServerFaults(vm: ClusterVm, faults: Readonly<Record<string, unknown>>): Promise<void> {
    await this._put(`http://${vm.server?.control ?? ""}/faults`, faults);
  }

  /**
   * Sets conditions and faults of a VM's worker.
   * @param vm - The VM.
   * @param switches - Fields of the body of PUT /control/switches.
   */
  async setWorkerSwitches(
    vm: ClusterVm,
    switches: Readonly<Record<string, unknown>>,
  ): Promise<void> {
    await this._put(`http://${vm.worker.address}/control/switches`, switches);
  }

  /** Reads the journals of all workers, ordered by time. */
  readWorkerEvents(): readonly WorkerEvent[] {
    return this._vms
      .flatMap((vm) => this.files.readJournal(vm.worker.name) as readonly WorkerEvent[])
      .sort((a, b) => a.at - b.at);
  }

  /** Reads the journals of all backend servers, ordered by time. */
  readServerEvents(): readonly BackendEvent[] {
    return this._vms
      .flatMap((vm) => this.files.readJournal(`server-${vm.name}`) as readonly BackendEvent[])
      .sort((a, b) => a.at - b.at);
  }

  /**
   * Gets the last lines of each process's log.
   * @param lines - Number of lines of each log.
   */
  collectLogs(lines = 20): string {
    return this._processes
      .map((process) => `--- ${process.name}\n${tail(process.readLog(), lines)}`)
      .join("\n");
  }

  /** Kills all processes and deletes the directory. */
  async stop(): Promise<void> {
    await Promise.all(this._processes.map((process) => process.kill()));
    await Promise.all(this._getProxies().map((proxy) => proxy.stop()));
    await this._guard.stop();
    this.files.remove();
  }

  private _getProxies(): readonly FaultProxy[] {
    const requests = this._vms.map((vm) => vm.agent.proxy);
    return [...this._entries.map((entry) => entry.storeProxy), ...requests].filter(
      (proxy): proxy is FaultProxy => proxy !== undefined,
    );
  }

  private async _createStore(): Promise<void> {
    const [listen = "", control = ""] = await findFreeAddresses(2);
    const process = this._createStandin("store", "store", { listen, control });
    this._store = { address: listen, control, process };
  }

  private async _createEntries(): Promise<void> {
    const deps = {
      options: this.options,
      files: this.files,
      store: this.store.address,
      createProduct: this._createProduct.bind(this),
    };
    const indexes = Array.from({ length: this.options.entries }, (_, index) => index);
    this._entries = await Promise.all(indexes.map((index) => createEntry(deps, index)));
  }

  private async _createVms(): Promise<void> {
    const factory = new ClusterVmFactory({
      options: this.options,
      files: this.files,
      entries: this._entries,
      createProduct: this._createProduct.bind(this),
      createStandin: this._createStandin.bind(this),
    });
    const served = this.options.services.flatMap((service) =>
      Array.from({ length: service.vms }, (): ServiceOptions => service),
    );
    const plain = Array.from({ length: this.options.plainVms }, () => undefined);
    this._vms = await Promise.all(
      [...served, ...plain].map((service, index) => factory.create(index, service)),
    );
  }

  private _createProduct(name: string, role: "entry" | "agent", file: string): ManagedProcess {
    return this._createProcess(name, BINARY, [role, "--settings", file]);
  }

  private _createStandin(
    name: string,
    folder: string,
    args: Readonly<Record<string, string | number>>,
  ): ManagedProcess {
    const script = join(REPOSITORY, "standins", folder, "main.ts");
    const options = Object.entries(args).map(([key, value]) => `--${key}=${value}`);
    return this._createProcess(name, process.execPath, [script, ...options]);
  }

  private _createProcess(name: string, command: string, args: readonly string[]): ManagedProcess {
    const logFile = this.files.getLogPath(name);
    const created = new ManagedProcess({ name, command, args, logFile, guard: this._guard });
    this._processes.push(created);
    return created;
  }

  private async _waitForHealth(url: string, process: ManagedProcess): Promise<void> {
    await waitUntil(`${process.name} is ready`, READY_TIMEOUT_MS, async () => {
      const { status } = await callJson("GET", url);
      return status === 200;
    });
  }

  private async _put(url: string, body: unknown): Promise<void> {
    const reply = await callJson("PUT", url, body);
    if (reply.status !== 200) {
      throw new Error(`${url}: status ${reply.status}: ${JSON.stringify(reply.body)}`);
    }
  }
}

function tail(text: string, lines: number): string {
  return text.trimEnd().split("\n").slice(-lines).join("\n");
}
