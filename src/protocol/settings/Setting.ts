/**
 * One setting of a settings file: how its text is read, what is allowed, its default and what it
 * means to an operator.
 */
import type { Result } from "neverthrow";

/** What every kind of setting states. */
export interface SettingInfo {
  /** Text of the value that applies where the file gives none; undefined where it must be given. */
  readonly defaultText?: string;
  /** Meaning of the setting. */
  readonly doc: string;
}

/** A setting whose value is of one type. */
export abstract class Setting<T> {
  readonly info: SettingInfo;

  /**
   * Creates the setting.
   * @param info - Default and meaning.
   */
  constructor(info: SettingInfo) {
    this.info = info;
  }

  /** Type as the settings reference names it. */
  abstract getType(): string;

  /** What is allowed, as an error states it. */
  abstract getAllowed(): string;

  /**
   * Reads a value; an error states no reason, as what is allowed says it.
   * @param text - Text of the file.
   */
  abstract parse(text: string): Result<T, undefined>;
}
