/**
 * A setting whose value is an integer with a unit and bounds.
 */
import { NumberSetting } from "./NumberSetting.ts";

/** An integer within bounds. */
export class IntegerSetting extends NumberSetting {
  protected override readonly _pattern = /^\d{1,15}$/;
  protected override readonly _form = "a whole number";
}
