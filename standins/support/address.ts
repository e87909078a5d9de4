/**
 * Addresses of the stand-ins.
 */

/**
 * Reads an address of the form "host:port".
 * @param address - The address.
 */
export function parseAddress(address: string): { readonly host: string; readonly port: number } {
  const [host, port] = address.split(":");
  if (host === undefined || port === undefined || !/^\d+$/.test(port)) {
    throw new Error(`bad address ${address}: expected host:port`);
  }
  return { host, port: Number(port) };
}
