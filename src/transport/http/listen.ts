/**
 * Listening on an address of the settings.
 */
import type { Server as NetServer } from "node:net";
import { ListenError } from "../../protocol/errors/errors.ts";

/**
 * Starts to listen; the promise rejects with a ListenError that names the setting.
 * @param server - The server.
 * @param address - Address as host:port.
 * @param setting - Setting that holds the address, as "[section] key".
 */
export async function listen(server: NetServer, address: string, setting: string): Promise<void> {
  const split = address.lastIndexOf(":");
  const host = address.slice(0, split).replace(/^\[|\]$/g, "");
  const port = Number(address.slice(split + 1));
  await new Promise<void>((resolve, reject) => {
    server.once("error", (err) => {
      reject(new ListenError(setting, address, err.message));
    });
    server.listen(port, host, resolve);
  });
}
