/**
 * One entry of a cluster.
 */
import { FaultProxy } from "../proxy/FaultProxy.ts";
import { MachineClock } from "../support/MachineClock.ts";
import { findFreeAddresses } from "../support/freePorts.ts";
import type { ClusterFiles } from "./ClusterFiles.ts";
import type { ClusterOptions } from "./ClusterOptions.ts";
import type { ManagedProcess } from "./ManagedProcess.ts";

/** What an entry of a cluster needs. */
export interface ClusterEntryDependencies {
  readonly options: ClusterOptions;
  readonly files: ClusterFiles;
  /** Address of the store. */
  readonly store: string;
  readonly createProduct: (name: string, role: "entry" | "agent", file: string) => ManagedProcess;
}

/** An entry. */
export interface ClusterEntry {
  readonly name: string;
  readonly zone: string;
  /** Address for callers. */
  readonly listen: string;
  readonly control: string;
  /** Address for operators. */
  readonly api: string;
  readonly process: ManagedProcess;
  /** Proxy between the entry and the store, where there is one. */
  readonly storeProxy: FaultProxy | undefined;
}

/**
 * Creates an entry that is not started.
 * @param deps - What it needs.
 * @param index - Number of the entry, from 0.
 */
export async function createEntry(
  deps: ClusterEntryDependencies,
  index: number,
): Promise<ClusterEntry> {
  const { options, files, createProduct } = deps;
  const [listen = "", control = "", api = "", proxied = ""] = await findFreeAddresses(4);
  const name = `entry-${index + 1}`;
  const zone = options.zones[index % options.zones.length] ?? "";
  const storeProxy = options.proxyStore
    ? new FaultProxy(new MachineClock(), proxied, deps.store)
    : undefined;
  const settings = {
    entry: { name, region: "region-1", zone, listen, control, api },
    store: { address: storeProxy?.address ?? deps.store },
  };
  const file = files.writeSettings(name, settings, options.entrySettings);
  const process = createProduct(name, "entry", file);
  return { name, zone, listen, control, api, process, storeProxy };
}
