/**
 * Exchanges the configuration with other processes: an entry sends it to agents and peers, and a
 * restarting entry fetches it from them while the store is unreachable.
 */
import { create } from "@bufbuild/protobuf";
import type { EntryRegistration } from "../../coordination/batch/EntryMembership.ts";
import type { ActiveConfig } from "../../coordination/config/ActiveConfig.ts";
import { configDocumentSchema, type ConfigSnapshot } from "../../protocol/config/ConfigDocument.ts";
import {
  GetConfigReplySchema,
  type GetConfigReply,
  type GetConfigRequest,
} from "../../protocol/generated/fireflylb/v1/control_pb.ts";
import type { FleetView } from "../../state/FleetView.ts";
import type { EntryClients } from "../control/EntryClients.ts";
import type { AgentConnections } from "./requests/AgentConnections.ts";

const CALL_TIMEOUT_MS = 1_000;
/** Maximum number of agents asked, those with the highest revisions first. */
const MAX_AGENTS = 3;

/** Sends the configuration to other processes and fetches it from them. */
export class PeerConfigs {
  private readonly _clients: EntryClients;
  private readonly _connections: AgentConnections;
  private readonly _fleet: FleetView;
  private readonly _getEntries: () => readonly EntryRegistration[];

  /**
   * Creates the exchange.
   * @param clients - Control clients of the entries.
   * @param connections - Connections to agents.
   * @param fleet - Known VMs.
   * @param getEntries - Returns the live entries.
   */
  constructor(
    clients: EntryClients,
    connections: AgentConnections,
    fleet: FleetView,
    getEntries: () => readonly EntryRegistration[],
  ) {
    this._clients = clients;
    this._connections = connections;
    this._fleet = fleet;
    this._getEntries = getEntries;
  }

  /**
   * Creates the reply to a process that requests the configuration.
   * @param activeConfig - Configuration in force.
   * @param req - Request with the revision that the process already has.
   */
  static createReply(activeConfig: ActiveConfig, req: GetConfigRequest): GetConfigReply {
    const snapshot = activeConfig.getSnapshot();
    if (snapshot === undefined) {
      return create(GetConfigReplySchema, { known: false });
    }
    const document =
      Number(req.knownRevision) === snapshot.revision ? "" : JSON.stringify(snapshot.document);
    return create(GetConfigReplySchema, {
      known: true,
      revision: BigInt(snapshot.revision),
      document,
    });
  }

  /**
   * Parses the snapshot in a reply; returns undefined if the reply contains none.
   * @param reply - The reply.
   */
  static parseReply(reply: GetConfigReply): ConfigSnapshot | undefined {
    if (!reply.known || reply.document === "") {
      return undefined;
    }
    const document = configDocumentSchema.safeParse(JSON.parse(reply.document));
    return document.success
      ? { revision: Number(reply.revision), document: document.data }
      : undefined;
  }

  /**
   * Fetches the configuration from the other entries and from the agents with the highest revisions.
   * @param entryName - Name of this entry.
   */
  async fetchSnapshots(entryName: string): Promise<readonly ConfigSnapshot[]> {
    const options = { timeoutMs: CALL_TIMEOUT_MS };
    const entries = this._getEntries()
      .filter((entry) => entry.name !== entryName)
      .map((entry) => this._clients.getClient(entry.control).getConfig({}, options));
    const agents = this._fleet
      .getVms()
      .toSorted((a, b) => b.configRevision - a.configRevision)
      .slice(0, MAX_AGENTS)
      .map((vm) => this._connections.getControlClient(vm.controlAddress).getConfig({}, options));
    const replies = await Promise.allSettled([...entries, ...agents]);
    return replies
      .flatMap((reply) => (reply.status === "fulfilled" ? [reply.value] : []))
      .map((reply) => PeerConfigs.parseReply(reply))
      .filter((snapshot) => snapshot !== undefined);
  }
}
