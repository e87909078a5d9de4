/**
 * Starts listeners; an error names the setting with the address.
 */
import type { AddressInfo, Server } from "node:net";
import { errAsync, ResultAsync } from "neverthrow";
import { ListenError } from "../../protocol/errors/errors.ts";

/**
 * Starts listening on an address.
 * @param server - The server.
 * @param setting - Setting with the address, as "[section] key".
 * @param address - Address as host:port; port 0 selects any free port.
 * @returns The address on which the server listens.
 */
export function listen(
  server: Server,
  setting: string,
  address: string,
): ResultAsync<string, ListenError> {
  const separator = address.lastIndexOf(":");
  if (separator < 0) {
    return errAsync(new ListenError(setting, address, "not host:port"));
  }
  const host = address.slice(0, separator);
  const port = Number(address.slice(separator + 1));
  const started = new Promise<string>((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host.replace(/^\[(.*)\]$/, "$1"), () => {
      server.removeListener("error", reject);
      resolve(`${host}:${(server.address() as AddressInfo).port}`);
    });
  });
  return ResultAsync.fromPromise(started, (err) => {
    const reason = err instanceof Error ? err.message : String(err);
    return new ListenError(setting, address, reason);
  });
}
