/**
 * Connect clients of the entries' control interface, by address.
 */
import { createClient, type Client } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { EntryControl } from "../../protocol/generated/fireflylb/v1/control_pb.ts";

/** Client of an entry's control interface. */
export type EntryControlClient = Client<typeof EntryControl>;

/** Clients of entries. */
export class EntryClients {
  private readonly _clients = new Map<string, EntryControlClient>();

  /**
   * Gives the client of an entry.
   * @param address - Control address of the entry.
   */
  getClient(address: string): EntryControlClient {
    const known = this._clients.get(address);
    if (known !== undefined) {
      return known;
    }
    const transport = createConnectTransport({ baseUrl: `http://${address}`, httpVersion: "2" });
    const client = createClient(EntryControl, transport);
    this._clients.set(address, client);
    return client;
  }
}
