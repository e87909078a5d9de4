/**
 * VM of a cluster with its worker, agent and backend server.
 */
import { FaultProxy } from "../proxy/FaultProxy.ts";
import { MachineClock } from "../support/MachineClock.ts";
import { findFreeAddresses } from "../support/freePorts.ts";
import type { ClusterEntry } from "./ClusterEntry.ts";
import type { ClusterFiles } from "./ClusterFiles.ts";
import type { ClusterOptions, ServiceOptions } from "./ClusterOptions.ts";
import type { ManagedProcess } from "./ManagedProcess.ts";

const VMS_PER_RACK = 3;

/** Worker process of a VM with its address. */
export interface ClusterWorker {
  readonly name: string;
  readonly address: string;
  readonly process: ManagedProcess;
}

/** Backend server process of a VM with its addresses. */
export interface ClusterServer {
  readonly name: string;
  readonly service: string;
  readonly address: string;
  readonly control: string;
  readonly process: ManagedProcess;
}

/** Agent process of a VM with its addresses. */
export interface ClusterAgent {
  readonly name: string;
  readonly listen: string;
  readonly control: string;
  readonly local: string;
  readonly admin: string;
  readonly process: ManagedProcess;
  /** Proxy between entries and the agent's request listener; undefined if there is none. */
  readonly proxy: FaultProxy | undefined;
}

/** VM of a cluster. */
export interface ClusterVm {
  readonly name: string;
  readonly zone: string;
  readonly worker: ClusterWorker;
  readonly agent: ClusterAgent;
  /** Backend server; undefined on a VM that only runs batch tasks. */
  readonly server: ClusterServer | undefined;
}

/** Dependencies of the VMs of a cluster. */
export interface ClusterVmDependencies {
  readonly options: ClusterOptions;
  readonly files: ClusterFiles;
  readonly entries: readonly ClusterEntry[];
  readonly createProduct: (name: string, role: "entry" | "agent", file: string) => ManagedProcess;
  readonly createStandin: (
    name: string,
    script: string,
    args: Readonly<Record<string, string | number>>,
  ) => ManagedProcess;
}

/** Creates the VMs of a cluster. */
export class ClusterVmFactory {
  private readonly _deps: ClusterVmDependencies;

  /**
   * Creates the factory.
   * @param deps - Dependencies of the VMs.
   */
  constructor(deps: ClusterVmDependencies) {
    this._deps = deps;
  }

  /**
   * Creates a VM without starting its processes.
   * @param index - Index of the VM, from 0.
   * @param service - Service of its backend server; undefined for no backend server.
   */
  async create(index: number, service: ServiceOptions | undefined): Promise<ClusterVm> {
    const { zones } = this._deps.options;
    const name = `vm-${index + 1}`;
    const zone = zones[index % zones.length] ?? "";
    const worker = await this._createWorker(name);
    const agent = await this._createAgent(name, zone, index, worker.address);
    const server =
      service === undefined
        ? undefined
        : await this._createServer(name, index, service, { agent, worker });
    return { name, zone, worker, agent, server };
  }

  private async _createWorker(vm: string): Promise<ClusterWorker> {
    const { options, files, createStandin } = this._deps;
    const [address = ""] = await findFreeAddresses(1);
    const name = `worker-${vm}`;
    const process = createStandin(name, "worker", {
      listen: address,
      vm,
      "processors-milli": options.processorsMilli,
      "memory-bytes": options.memoryBytes,
      accelerators: options.accelerators,
      "usage-lag-ms": options.usageLagMs,
      journal: files.getJournalPath(name),
    });
    return { name, address, process };
  }

  private async _createAgent(
    vm: string,
    zone: string,
    index: number,
    worker: string,
  ): Promise<ClusterAgent> {
    const { options, files, entries, createProduct } = this._deps;
    const [listen = "", control = "", local = "", admin = ""] = await findFreeAddresses(4);
    const proxy = await this._createProxy(listen);
    const advertise = proxy?.address ?? "";
    const zoneIndex = Math.floor(index / options.zones.length);
    const rack = `${zone}-rack-${Math.floor(zoneIndex / VMS_PER_RACK) + 1}`;
    const ownZoneFirst = [
      ...entries.filter((entry) => entry.zone === zone),
      ...entries.filter((entry) => entry.zone !== zone),
    ];
    const settings = {
      agent: {
        name: vm,
        region: "region-1",
        zone,
        rack,
        listen,
        control,
        local,
        admin,
        advertise,
        entries: ownZoneFirst.map((entry) => entry.control).join(","),
      },
      worker: { address: worker },
    };
    const name = `agent-${vm}`;
    const file = files.writeSettings(name, settings, options.agentSettings);
    const process = createProduct(name, "agent", file);
    return { name, listen, control, local, admin, process, proxy };
  }

  private async _createProxy(listen: string): Promise<FaultProxy | undefined> {
    if (!this._deps.options.proxyRequests) {
      return undefined;
    }
    const [proxied = ""] = await findFreeAddresses(1);
    return new FaultProxy(new MachineClock(), proxied, listen);
  }

  private async _createServer(
    vm: string,
    index: number,
    service: ServiceOptions,
    colocated: { readonly agent: ClusterAgent; readonly worker: ClusterWorker },
  ): Promise<ClusterServer> {
    const { options, files, createStandin } = this._deps;
    const [address = "", control = ""] = await findFreeAddresses(2);
    const name = `server-${vm}`;
    const process = createStandin(name, "backend", {
      listen: address,
      control,
      agent: colocated.agent.local,
      worker: colocated.worker.address,
      service: service.service,
      id: name,
      slots: service.slots,
      connections: service.connections,
      "service-times": service.serviceTimes,
      seed: options.seed + index,
      journal: files.getJournalPath(name),
    });
    return { name, service: service.service, address, control, process };
  }
}
