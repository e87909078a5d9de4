/**
 * A setting whose value is a list of addresses.
 */
import { err, ok, type Result } from "neverthrow";
import { isAddress } from "./AddressSetting.ts";
import { Setting } from "./Setting.ts";

/** One or more addresses, separated by commas. */
export class AddressListSetting extends Setting<readonly string[]> {
  override getType(): string {
    return "addresses";
  }

  override getAllowed(): string {
    return "one or more host:port, separated by commas";
  }

  override parse(text: string): Result<readonly string[], undefined> {
    const addresses = text.split(",").map((address) => address.trim());
    return addresses.every(isAddress) ? ok(addresses) : err(undefined);
  }
}
