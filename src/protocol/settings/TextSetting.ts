/**
 * A setting whose value is a text of a given form.
 */
import { err, ok, type Result } from "neverthrow";
import { Setting, type SettingInfo } from "./Setting.ts";

/** Form of a text, with the words that describe it. */
export interface TextFormat {
  readonly type: string;
  readonly pattern: RegExp;
  readonly allowed: string;
}

/** A text of a given form. */
export class TextSetting extends Setting<string> {
  private readonly _format: TextFormat;

  /**
   * Creates the setting.
   * @param form - Form of the text.
   * @param info - Default and meaning.
   */
  constructor(form: TextFormat, info: SettingInfo) {
    super(info);
    this._format = form;
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
