/**
 * A setting whose value is text that matches a pattern.
 */
import { err, ok, type Result } from "neverthrow";
import { Setting, type SettingInfo } from "./Setting.ts";

/** Pattern of a text and its descriptions. */
export interface TextFormat {
  readonly type: string;
  readonly pattern: RegExp;
  readonly allowed: string;
}

/** Text that matches a pattern. */
export class TextSetting extends Setting<string> {
  private readonly _format: TextFormat;

  /**
   * Creates the setting.
   * @param format - Pattern of the text and its descriptions.
   * @param info - Default and description.
   */
  constructor(format: TextFormat, info: SettingInfo) {
    super(info);
    this._format = format;
  }

  override getType(): string {
    return this._format.type;
  }

  override getAllowed(): string {
    return this._format.allowed;
  }

  override parse(text: string): Result<string, undefined> {
    return this._format.pattern.test(text) ? ok(text) : err(undefined);
  }
}
