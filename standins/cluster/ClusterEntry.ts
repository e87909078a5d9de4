/**
 * Entry of a cluster.
 */
import { FaultProxy } from "../proxy/FaultProxy.ts";
import { MachineClock } from "../support/MachineClock.ts";
import { findFreeAddresses } from "../support/freePorts.ts";
import type { ClusterFiles } from "./ClusterFiles.ts";
import type { ClusterOptions } from "./ClusterOptions.ts";
import type { ManagedProcess } from "./ManagedProcess.ts";

/** Dependencies of an entry of a cluster. */
export interface ClusterEntryDependencies {
  readonly options: ClusterOptions;
  readonly files: ClusterFiles;
  /** Address of the store. */
  readonly store: string;
  readonly createProduct: (name: string, role: "entry" | "agent", file: string) => ManagedProcess;
}

/** Process of an entry with its addresses. */
export interface ClusterEntry {
  readonly name: string;
  readonly zone: string;
  /** Address of the request listener. */
  readonly listen: string;
  readonly control: string;
  /** Address of the operators' API. */
  readonly api: string;
  readonly process: ManagedProcess;
  /** Proxy between the entry and the store; undefined if there is none. */
  readonly storeProxy: FaultProxy | undefined;
}

/**
 * Creates an entry without starting its process.
 * @param deps - Dependencies of the entry.
 * @param index - Index of the entry, from 0.
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
