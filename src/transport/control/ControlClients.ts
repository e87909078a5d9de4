/**
 * Cache of Connect clients of one control service, by the address of the serving process.
 */
import type { DescService } from "@bufbuild/protobuf";
import { createClient, type Client } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";

/** Clients of one control service. */
export class ControlClients<T extends DescService> {
  private readonly _service: T;
  private readonly _clients = new Map<string, Client<T>>();

  /**
   * Creates an empty cache.
   * @param service - The service.
   */
  constructor(service: T) {
    this._service = service;
  }

  /**
   * Gets the client of a process, and creates it if there is none.
   * @param address - Control address of the process.
   */
  getClient(address: string): Client<T> {
    const existing = this._clients.get(address);
    if (existing !== undefined) {
      return existing;
    }
    const transport = createConnectTransport({ baseUrl: `http://${address}`, httpVersion: "2" });
    const client = createClient(this._service, transport);
    this._clients.set(address, client);
    return client;
  }

  /**
   * Removes the client of a process that is gone.
   * @param address - Control address of the process.
   */
  drop(address: string): void {
    this._clients.delete(address);
  }
}
