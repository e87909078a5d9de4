/**
 * A setting whose value is an integer with a unit and bounds.
 */
import { err, ok, type Result } from "neverthrow";
import { Setting, type SettingInfo } from "./Setting.ts";

/** Unit and bounds of a number. */
export interface NumberRange {
  readonly unit: string;
  readonly min: number;
  readonly max: number;
}

/** An integer within bounds. */
export class IntegerSetting extends Setting<number> {
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
    return `a whole number of ${unit} from ${min} to ${max}`;
  }

  override parse(text: string): Result<number, undefined> {
    const value = /^\d{1,15}$/.test(text) ? Number(text) : NaN;
    return value >= this._range.min && value <= this._range.max ? ok(value) : err(undefined);
  }
}
