/**
 * A setting whose value is a number with a unit and bounds, with or without decimal places.
 */
import { NumberSetting } from "./NumberSetting.ts";

/** A number within bounds. */
export class DecimalSetting extends NumberSetting {
  protected override readonly _pattern = /^\d{1,9}(\.\d{1,6})?$/;
  protected override readonly _form = "a number";
}
