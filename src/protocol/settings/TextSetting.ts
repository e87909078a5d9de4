/**
 * A setting whose value is a text of a given form.
 */
import { err, ok, type Result } from "neverthrow";
import { Setting, type SettingInfo } from "./Setting.ts";

/** Form of a text, with the words that describe it. */
export interface TextForm {
  readonly type: string;
  readonly pattern: RegExp;
  readonly allowed: string;
}

/** A text of a given form. */
export class TextSetting extends Setting<string> {
  private readonly _form: TextForm;

  /**
   * Creates the setting.
   * @param form - Form of the text.
   * @param info - Default and meaning.
   */
  constructor(form: TextForm, info: SettingInfo) {
    super(info);
    this._form = form;
  }

  override getType(): string {
    return this._form.type;
  }

  override getAllowed(): string {
    return this._form.allowed;
  }

  override parse(text: string): Result<string, undefined> {
    return this._form.pattern.test(text) ? ok(text) : err(undefined);
  }
}
