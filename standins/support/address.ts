/**
 * Parses addresses of the stand-ins.
 */

/**
 * Parses an address of the form "host:port".
 * @param address - The address.
 */
export function parseAddress(address: string): { readonly host: string; readonly port: number } {
  const [host, port] = address.split(":");
  if (host === undefined || port === undefined || !/^\d+$/.test(port)) {
    throw new Error(`invalid address ${address}: expected host:port`);
  }
  return { host, port: Number(port) };
}
