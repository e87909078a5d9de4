/**
 * Options of a cluster.
 */

/** Values of a settings file that differ from the defaults, by section and key. */
export type SettingsOverrides = Readonly<Record<string, Readonly<Record<string, string | number>>>>;

/** Group of VMs that run one service. */
export interface ServiceOptions {
  readonly service: string;
  /** Number of VMs, each with one backend server. */
  readonly vms: number;
  /** Distribution of the service times, in the format of ServiceTimes. */
  readonly serviceTimes: string;
  readonly slots: number;
  readonly connections: number;
}

/** Options of a cluster. */
export interface ClusterOptions {
  readonly entries: number;
  /** Availability zones; entries and VMs are assigned to them in rotation. */
  readonly zones: readonly string[];
  readonly services: readonly ServiceOptions[];
  /** Number of VMs with a worker and without a backend server. */
  readonly plainVms: number;
  readonly processorsMilli: number;
  readonly memoryBytes: number;
  readonly accelerators: number;
  /** Age of the usage that workers report, in milliseconds. */
  readonly usageLagMs: number;
  readonly entrySettings: SettingsOverrides;
  readonly agentSettings: SettingsOverrides;
  /** Whether entries reach the store through fault-injecting proxies, one for each entry. */
  readonly proxyStore: boolean;
  /** Whether entries send requests to agents through fault-injecting proxies, one for each VM. */
  readonly proxyRequests: boolean;
  /** Seed of the stand-ins' random numbers; each backend server adds its index. */
  readonly seed: number;
}

/** Default options: a small deployment. */
export const DEFAULT_CLUSTER: ClusterOptions = {
  entries: 1,
  zones: ["zone-a", "zone-b", "zone-c"],
  services: [
    {
      service: "rota-desk",
      vms: 2,
      serviceTimes: "exponential 5",
      slots: 8,
      connections: 64,
    },
  ],
  plainVms: 0,
  processorsMilli: 16_000,
  memoryBytes: 60_000_000_000,
  accelerators: 0,
  usageLagMs: 1_000,
  entrySettings: {},
  agentSettings: {},
  proxyStore: false,
  proxyRequests: false,
  seed: 1,
};
