/**
 * A setting whose value is one of a fixed set of words.
 */
import { err, ok, type Result } from "neverthrow";
import { Setting, type SettingInfo } from "./Setting.ts";

/** One of a fixed set of words. */
export class ChoiceSetting<T extends string> extends Setting<T> {
  private readonly _choices: readonly T[];

  /**
   * Creates the setting.
   * @param choices - All allowed words.
   * @param info - Default and description.
   */
  constructor(choices: readonly T[], info: SettingInfo) {
    super(info);
    this._choices = choices;
  }

  override getType(): string {
    return "word";
  }

  override getAllowed(): string {
    return `one of ${this._choices.join(", ")}`;
  }

  override parse(text: string): Result<T, undefined> {
    const choice = this._choices.find((candidate) => candidate === text);
    return choice === undefined ? err(undefined) : ok(choice);
  }
}
