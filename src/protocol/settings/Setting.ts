/**
 * One setting of a settings file: how its text is parsed, the allowed values, the default and the
 * description for operators.
 */
import type { Result } from "neverthrow";

/** Default and description of a setting. */
export interface SettingInfo {
  /** Text of the default value; undefined for a required setting. */
  readonly defaultText?: string;
  /** Description of the setting. */
  readonly doc: string;
}

/** A setting with a value of type T. */
export abstract class Setting<T> {
  readonly info: SettingInfo;

  /**
   * Creates the setting.
   * @param info - Default and description.
   */
  constructor(info: SettingInfo) {
    this.info = info;
  }

  /** Gets the name of the type for the settings reference. */
  abstract getType(): string;

  /** Gets the description of the allowed values for errors. */
  abstract getAllowed(): string;

  /**
   * Parses a value; an error has no message, as `getAllowed` describes what is expected.
   * @param text - Text of the value.
   */
  abstract parse(text: string): Result<T, undefined>;
}
