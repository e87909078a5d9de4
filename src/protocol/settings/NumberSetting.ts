/**
 * A setting whose value is a number with a unit and bounds.
 */
import { err, ok, type Result } from "neverthrow";
import { Setting, type SettingInfo } from "./Setting.ts";

/** Unit and bounds of a number. */
export interface NumberRange {
  readonly unit: string;
  readonly min: number;
  readonly max: number;
}

/** A number within bounds; subclasses decide how it is written. */
export abstract class NumberSetting extends Setting<number> {
  /** What the text of a value looks like. */
  protected abstract readonly _pattern: RegExp;
  /** What the text is called in errors. */
  protected abstract readonly _form: string;
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
    return `${this._form} of ${unit} from ${min} to ${max}`;
  }

  override parse(text: string): Result<number, undefined> {
    const value = this._pattern.test(text) ? Number(text) : NaN;
    return value >= this._range.min && value <= this._range.max ? ok(value) : err(undefined);
  }
}
