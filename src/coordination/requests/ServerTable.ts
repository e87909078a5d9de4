/**
 * Backend servers that one entry may send requests to, by service, updated from the reports of the
 * agents.
 */
import type { VmRecord } from "../../state/FleetView.ts";
import { ServerState } from "./ServerState.ts";

/** Backend servers by service. */
export class ServerTable {
  private readonly _byAgent = new Map<string, Map<string, ServerState>>();
  private readonly _byService = new Map<string, readonly ServerState[]>();

  /**
   * Handles a report: adds new servers, removes missing ones and updates the others.
   * @param vm - The VM as reported.
   */
  handleReport(vm: VmRecord): void {
    const known = this._byAgent.get(vm.agent) ?? new Map<string, ServerState>();
    const next = new Map(vm.servers.map((server) => [server.id, this._merge(vm, server, known)]));
    this._byAgent.set(vm.agent, next);
    if (ServerTable._hasSameServers(known, next)) {
      return;
    }
    this._rebuildServices(
      new Set([...known.values(), ...next.values()].map((state) => state.service)),
    );
  }

  /**
   * Removes the servers of a VM that has stopped reporting.
   * @param agent - Name of its agent.
   */
  remove(agent: string): void {
    const known = this._byAgent.get(agent);
    this._byAgent.delete(agent);
    this._rebuildServices(new Set([...(known?.values() ?? [])].map((state) => state.service)));
  }

  /**
   * Gets the servers of a service; empty if there are none.
   * @param service - Name of the service.
   */
  getServers(service: string): readonly ServerState[] {
    return this._byService.get(service) ?? [];
  }

  /** Gets the names of all services that have servers. */
  getServices(): readonly string[] {
    return [...this._byService.keys()];
  }

  private _merge(
    vm: VmRecord,
    server: VmRecord["servers"][number],
    known: ReadonlyMap<string, ServerState>,
  ): ServerState {
    const state = known.get(server.id);
    if (state?.service !== server.service) {
      return new ServerState(vm, server);
    }
    state.update(vm, server);
    return state;
  }

  private _rebuildServices(services: ReadonlySet<string>): void {
    const all = [...this._byAgent.values()].flatMap((states) => [...states.values()]);
    services.forEach((service) => {
      const states = all.filter((state) => state.service === service);
      if (states.length === 0) {
        this._byService.delete(service);
        return;
      }
      this._byService.set(service, states);
    });
  }

  private static _hasSameServers(
    a: ReadonlyMap<string, ServerState>,
    b: ReadonlyMap<string, ServerState>,
  ): boolean {
    return a.size === b.size && [...a].every(([id, state]) => b.get(id) === state);
  }
}
