/**
 * Starts listeners by their settings, with an error that names the setting.
 */
import type { AddressInfo, Server } from "node:net";
import { errAsync, ResultAsync } from "neverthrow";
import { ListenError } from "../../protocol/errors/errors.ts";

/**
 * Makes a server listen.
 * @param server - The server.
 * @param setting - Setting that holds the address, as "[section] key".
 * @param address - The address; port 0 takes any free port.
 * @returns The address that the server listens on.
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
