/**
 * Routes of an entry for the status of the fleet and for explanations of requests and VMs.
 */
import type { EntryRegistration } from "../../coordination/batch/EntryMembership.ts";
import type { ActiveConfig } from "../../coordination/config/ActiveConfig.ts";
import type { ProcessRevision } from "../../coordination/config/coverage.ts";
import type { Clock } from "../../protocol/platform/Clock.ts";
import type { FleetView, VmRecord } from "../../state/FleetView.ts";
import type { RequestTraces } from "../../state/RequestTraces.ts";
import type { ApiReply, ApiRoute } from "../http/ApiRoute.ts";
import type { PeerReport } from "./FleetService.ts";

/** Dependencies of `EntryRoutes`. */
export interface EntryRoutesDependencies {
  readonly clock: Clock;
  readonly entry: EntryRegistration;
  readonly activeConfig: ActiveConfig;
  readonly fleet: FleetView;
  readonly traces: RequestTraces;
  readonly getPeerReports: () => ReadonlyMap<string, PeerReport>;
  readonly getInFlight: () => number;
  /** Asks an agent how batch work yields to serving tasks on its VM; never rejects. */
  readonly explainAgent: (controlAddress: string) => Promise<unknown>;
}

/** Fleet routes of one entry. */
export class EntryRoutes {
  private readonly _deps: EntryRoutesDependencies;

  /**
   * Creates the routes.
   * @param deps - Dependencies of the routes.
   */
  constructor(deps: EntryRoutesDependencies) {
    this._deps = deps;
  }

  /** Gets the routes. */
  getRoutes(): readonly ApiRoute[] {
    return [
      { method: "GET", path: "/v1/status", handle: () => Promise.resolve(this._getStatus()) },
      {
        method: "GET",
        path: "/v1/explain/request/:id",
        handle: (req) => Promise.resolve(this._explainRequest(req.params.id ?? "")),
      },
      {
        method: "GET",
        path: "/v1/explain/vm/:name",
        handle: (req) => this._explainVm(req.params.name ?? ""),
      },
    ];
  }

  /** Gets the configuration revision of every live process. */
  getProcesses(): readonly ProcessRevision[] {
    const { clock, entry, fleet, activeConfig, getPeerReports } = this._deps;
    const now = clock.now();
    const own: ProcessRevision = {
      role: "entry",
      name: entry.name,
      zone: entry.zone,
      revision: activeConfig.getRevision() ?? 0,
      ageMs: 0,
    };
    const peers = [...getPeerReports()].map(([name, peer]): ProcessRevision => {
      return {
        role: "entry",
        name,
        zone: peer.zone,
        revision: peer.revision,
        ageMs: now - peer.reportedAt,
      };
    });
    const agents = fleet.getVms().map((vm): ProcessRevision => {
      return {
        role: "agent",
        name: vm.agent,
        zone: vm.zone,
        revision: vm.configRevision,
        ageMs: now - vm.reportedAt,
      };
    });
    return [own, ...peers, ...agents];
  }

  private _getStatus(): ApiReply {
    const { entry, fleet, activeConfig, getInFlight, clock } = this._deps;
    const now = clock.now();
    return {
      status: 200,
      body: {
        entry: entry.name,
        zone: entry.zone,
        requestsInFlight: getInFlight(),
        configRevision: activeConfig.getRevision() ?? 0,
        processes: this.getProcesses(),
        vms: fleet.getVms().map((vm) => describeVm(vm, now)),
      },
    };
  }

  private _explainRequest(id: string): ApiReply {
    const trace = this._deps.traces.getTrace(id);
    return trace === undefined
      ? notFound(`request ${id} is not among the recent requests of this entry`)
      : { status: 200, body: trace };
  }

  private async _explainVm(name: string): Promise<ApiReply> {
    const vm = this._deps.fleet.getVm(name);
    if (vm === undefined) {
      return notFound(`VM ${name} has not been reported recently`);
    }
    const yielding = await this._deps.explainAgent(vm.controlAddress);
    const known = describeVm(vm, this._deps.clock.now());
    return { status: 200, body: { ...known, yielding } };
  }
}

function describeVm(vm: VmRecord, now: number): object {
  const { reportedAt, ...rest } = vm;
  return { ...rest, ageMs: Math.round(now - reportedAt) };
}

function notFound(detail: string): ApiReply {
  return { status: 404, body: { code: "not-found", detail } };
}
