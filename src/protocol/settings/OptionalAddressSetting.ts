/**
 * A setting whose value is an optional TCP address.
 */
import { err, ok, type Result } from "neverthrow";
import { isAddress } from "./AddressSetting.ts";
import { Setting } from "./Setting.ts";

/** A host and a port, or undefined. */
export class OptionalAddressSetting extends Setting<string | undefined> {
  override getType(): string {
    return "address";
  }

  override getAllowed(): string {
    return "host:port, with a port from 0 to 65535 and an IPv6 host in brackets, or nothing";
  }

  override parse(text: string): Result<string | undefined, undefined> {
    if (text === "") {
      return ok(undefined);
    }
    return isAddress(text) ? ok(text) : err(undefined);
  }
}
