/**
 * The configuration as other processes hold it: what an entry gives to agents and peers, and what a
 * restarting entry asks them for while the store cannot be reached.
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
/** Most agents that are asked; those with the largest revisions come first. */
const MAX_AGENTS = 3;

/** Configurations of other processes. */
export class PeerConfigs {
  private readonly _clients: EntryClients;
  private readonly _connections: AgentConnections;
  private readonly _fleet: FleetView;
  private readonly _getEntries: () => readonly EntryRegistration[];

  /**
   * Creates it.
   * @param clients - Clients of entries.
   * @param connections - Connections to agents.
   * @param fleet - VMs known.
   * @param getEntries - Gives the live entries.
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
   * Answers a process that asks for the configuration.
   * @param activeConfig - Holds the configuration.
   * @param req - What the process holds already.
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
   * Reads the snapshot in a reply; undefined where it holds none.
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
   * Asks the other entries and the agents with the largest revisions.
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
