/**
 * Maintains an entry's fleet view and table of backend servers from the heartbeats of agents and the
 * digests of other entries. An entry that is cut off from the store loses its registration there,
 * but still serves requests; therefore entries also keep to those whose digests they receive.
 */
import { create } from "@bufbuild/protobuf";
import type { EntryRegistration } from "../../coordination/batch/EntryMembership.ts";
import type { ServerTable } from "../../coordination/requests/ServerTable.ts";
import {
  DigestSchema,
  HeartbeatReplySchema,
  type Digest,
  type HeartbeatReply,
  type HeartbeatRequest,
  type PartitionOwner,
} from "../../protocol/generated/fireflylb/v1/control_pb.ts";
import type { Clock, Timer } from "../../protocol/platform/Clock.ts";
import type { Log } from "../../protocol/platform/Log.ts";
import type { FleetView, VmRecord } from "../../state/FleetView.ts";
import { readVm, writeVm } from "../control/fleetMessages.ts";
import type { EntryClients } from "../control/EntryClients.ts";

/** What another entry reported last: the revision of its configuration and how it is reached. */
export interface PeerReport {
  readonly revision: number;
  readonly zone: string;
  /** Address of the entry's control service, as host:port. */
  readonly control: string;
  readonly draining: boolean;
  /** Monotonic time of the report in milliseconds. */
  readonly reportedAt: number;
}

/** What the exchange needs to know of an entry. */
type EntryAddress = Pick<EntryRegistration, "name" | "zone" | "control">;

const MIN_TIMEOUT_MS = 1_000;

/** Dependencies of `FleetService`. */
export interface FleetServiceDependencies {
  readonly clock: Clock;
  readonly log: Log;
  readonly entry: EntryRegistration;
  readonly fleet: FleetView;
  readonly table: ServerTable;
  readonly clients: EntryClients;
  readonly intervalMs: number;
  readonly expiryMs: number;
  readonly getConfigRevision: () => number;
  /** Returns the entries that are registered in the store, including this one. */
  readonly getEntries: () => readonly EntryRegistration[];
  readonly getOwners: () => readonly PartitionOwner[];
  readonly isDraining: () => boolean;
  /** Called with another entry's configuration revision and control address, as it reported them. */
  readonly onPeerRevision: (revision: number, controlAddress: string) => void;
  readonly onVmExpired: (vm: VmRecord) => void;
}

/** Exchanges the state of the fleet with agents and other entries. */
export class FleetService {
  private readonly _deps: FleetServiceDependencies;
  /** Agents that sent a heartbeat to this entry since its last digest. */
  private readonly _reportedAgents = new Set<string>();
  private readonly _peerReports = new Map<string, PeerReport>();
  private _timer: Timer | undefined;
  private _isStopped = false;

  /**
   * Creates the service without starting it.
   * @param deps - Dependencies of the service.
   */
  constructor(deps: FleetServiceDependencies) {
    this._deps = deps;
  }

  /** Exchanges digests and expires VMs that are no longer reported, until stopped. */
  start(): void {
    this._timer = this._deps.clock.after(this._deps.intervalMs, () => {
      if (this._isStopped) {
        return;
      }
      this.start();
      this._expire();
      void this._sendDigests();
    });
  }

  /** Stops sending digests. */
  stop(): void {
    this._isStopped = true;
    this._timer?.cancel();
  }

  /** Gets the last report of each other entry, by name. */
  getPeerReports(): ReadonlyMap<string, PeerReport> {
    return this._peerReports;
  }

  /**
   * Handles a heartbeat of an agent.
   * @param req - The heartbeat.
   */
  handleHeartbeat(req: HeartbeatRequest): HeartbeatReply {
    this._apply(readVm(req, this._deps.clock.now()));
    this._reportedAgents.add(req.agent);
    return create(HeartbeatReplySchema, {
      configRevision: BigInt(this._deps.getConfigRevision()),
      entryAddresses: this._getEntryAddresses(req.zone),
      owners: [...this._deps.getOwners()],
      draining: this._deps.isDraining(),
    });
  }

  /**
   * Handles the digest of another entry and replies with this entry's revision.
   * @param digest - The digest.
   */
  handleDigest(digest: Digest): Digest {
    const now = this._deps.clock.now();
    digest.vms.forEach((vm) => {
      this._apply(readVm(vm, now - vm.ageMs));
    });
    this._recordPeerReport(digest);
    return this._createDigest([]);
  }

  private _apply(vm: VmRecord): void {
    if (this._deps.fleet.apply(vm)) {
      this._deps.table.handleReport(vm);
    }
  }

  private _recordPeerReport(digest: Digest): void {
    const { zone, controlAddress: control, draining } = digest;
    const revision = Number(digest.configRevision);
    const reportedAt = this._deps.clock.now();
    this._peerReports.set(digest.entry, { revision, zone, control, draining, reportedAt });
    this._deps.onPeerRevision(revision, digest.controlAddress);
  }

  /** Gets the entries that are registered, and those that report although they are not. */
  private _getLiveEntries(): readonly EntryAddress[] {
    const registered = this._deps.getEntries();
    const names = new Set(registered.map(({ name }) => name));
    const reporting = [...this._peerReports]
      .filter(([name, { draining }]) => !names.has(name) && !draining)
      .map(([name, { zone, control }]) => ({ name, zone, control }));
    return [...registered, ...reporting];
  }

  /** Gets the addresses of the live entries, those in the agent's zone first, then the others. */
  private _getEntryAddresses(zone: string): string[] {
    const entries = this._getLiveEntries();
    const near = entries.filter((entry) => entry.zone === zone);
    const far = entries.filter((entry) => entry.zone !== zone);
    return [...near, ...far].map((entry) => entry.control);
  }

  private _expire(): void {
    const { clock, expiryMs, fleet, table, log, onVmExpired } = this._deps;
    const reportedBefore = clock.now() - expiryMs;
    [...this._peerReports]
      .filter(([, peer]) => peer.reportedAt < reportedBefore)
      .forEach(([name]) => this._peerReports.delete(name));
    fleet.expire(reportedBefore).forEach((vm) => {
      table.remove(vm.agent);
      log.info("A VM was not reported in time and was removed from the fleet.", {
        vm: vm.agent,
        zone: vm.zone,
      });
      onVmExpired(vm);
    });
  }

  private async _sendDigests(): Promise<void> {
    const { entry } = this._deps;
    const agents = [...this._reportedAgents];
    this._reportedAgents.clear();
    const peers = this._getLiveEntries().filter((peer) => peer.name !== entry.name);
    if (peers.length === 0) {
      return;
    }
    const digest = this._createDigest(agents);
    await Promise.all(peers.map((peer) => this._sendDigest(peer, digest)));
  }

  private async _sendDigest(peer: EntryAddress, digest: Digest): Promise<void> {
    const { clients, intervalMs, log } = this._deps;
    try {
      const timeoutMs = Math.max(MIN_TIMEOUT_MS, intervalMs);
      const reply = await clients.getClient(peer.control).exchangeDigest(digest, { timeoutMs });
      this._recordPeerReport(reply);
    } catch (err) {
      log.debug("Failed to exchange a digest with another entry.", {
        entry: peer.name,
        reason: String(err),
      });
    }
  }

  private _createDigest(agents: readonly string[]): Digest {
    const { clock, entry, fleet, getConfigRevision, isDraining } = this._deps;
    const now = clock.now();
    return create(DigestSchema, {
      entry: entry.name,
      controlAddress: entry.control,
      apiAddress: entry.api,
      zone: entry.zone,
      configRevision: BigInt(getConfigRevision()),
      draining: isDraining(),
      vms: agents
        .map((agent) => fleet.getVm(agent))
        .filter((vm) => vm !== undefined)
        .map((vm) => writeVm(vm, now)),
    });
  }
}
