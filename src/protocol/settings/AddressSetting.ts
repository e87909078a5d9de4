/**
 * A setting whose value is a TCP address.
 */
import { err, ok, type Result } from "neverthrow";
import { Setting } from "./Setting.ts";

const MAX_PORT = 65_535;
const ADDRESS_PATTERN = /^(?:[a-zA-Z0-9._-]+|\[[0-9a-fA-F:.]+\]):(\d{1,5})$/;

/**
 * Returns whether a text is a host and a port.
 * @param text - Text such as "10.0.0.1:7000" or "[::1]:7000".
 */
export function isAddress(text: string): boolean {
  const port = ADDRESS_PATTERN.exec(text)?.[1];
  return port !== undefined && Number(port) <= MAX_PORT;
}

/** A host and a port. */
export class AddressSetting extends Setting<string> {
  override getType(): string {
    return "address";
  }

  override getAllowed(): string {
    return "host:port, with a port from 0 to 65535 and an IPv6 host in brackets";
  }

  override parse(text: string): Result<string, undefined> {
    return isAddress(text) ? ok(text) : err(undefined);
  }
}
