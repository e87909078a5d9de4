/**
 * A setting whose value is a number with a unit and bounds, with or without decimal places.
 */
import { err, ok, type Result } from "neverthrow";
import type { NumberRange } from "./IntegerSetting.ts";
import { Setting, type SettingInfo } from "./Setting.ts";

/** A number within bounds. */
export class DecimalSetting extends Setting<number> {
  private readonly _range: NumberRange;

  /**
   * Creates the setting.
   * @param range - Unit and bounds.
   * @param info - Default and description.
   */
  constructor(range: NumberRange, info: SettingInfo) {
    super(info);
    this._range = range;
  }

  override getType(): string {
    return this._range.unit;
  }

  override getAllowed(): string {
    const { unit, min, max } = this._range;
    return `a number of ${unit} from ${min} to ${max}`;
  }

  override parse(text: string): Result<number, undefined> {
    const value = /^\d{1,9}(\.\d{1,6})?$/.test(text) ? Number(text) : NaN;
    return value >= this._range.min && value <= this._range.max ? ok(value) : err(undefined);
  }
}
