/**
 * Typed access to the settings in one section of a configuration file. Errors name the file,
 * section, key, value and the allowed values.
 */
import { SettingError } from "../errors/errors.ts";

/** Settings of one section. */
export class ConfigFileSection {
  private readonly _file: string;
  private readonly _name: string;
  private readonly _settings: ReadonlyMap<string, unknown>;
  private readonly _readKeys = new Set<string>();

  /**
   * Creates a section.
   * @param file - Name of the file.
   * @param name - Name of the section.
   * @param settings - Settings as parsed by the INI library.
   */
  constructor(file: string, name: string, settings: Readonly<Record<string, unknown>>) {
    this._file = file;
    this._name = name;
    this._settings = new Map(Object.entries(settings));
  }

  /**
   * Creates an error for a setting of this section.
   * @param key - The setting; empty for the section itself.
   * @param value - Value in the file.
   * @param allowed - Description of the allowed values.
   */
  createError(key: string, value: string, allowed: string): SettingError {
    return new SettingError({ file: this._file, section: this._name, key, value, allowed });
  }

  /**
   * Reads a number.
   * @param key - The setting.
   * @param min - Minimum.
   * @param max - Maximum.
   */
  getNumber(key: string, min: number, max: number): number {
    const text = this._getString(key, `a number from ${min} to ${max}`);
    const value = /^\d+(\.\d+)?(e[+-]?\d+)?$/i.test(text) ? Number(text) : Number.NaN;
    if (!(value >= min && value <= max)) {
      throw this.createError(key, text, `a number from ${min} to ${max}`);
    }
    return value;
  }

  /**
   * Reads an integer.
   * @param key - The setting.
   * @param min - Minimum.
   * @param max - Maximum.
   */
  getInteger(key: string, min: number, max: number): number {
    const text = this._getString(key, `a whole number from ${min} to ${max}`);
    return this.parseInteger(key, text, min, max);
  }

  /**
   * Parses an integer.
   * @param key - Name of the number, for errors.
   * @param text - The text.
   * @param min - Minimum.
   * @param max - Maximum.
   */
  parseInteger(key: string, text: string, min: number, max: number): number {
    const value = /^\d{1,15}$/.test(text) ? Number(text) : Number.NaN;
    if (!(value >= min && value <= max)) {
      throw this.createError(key, text, `a whole number from ${min} to ${max}`);
    }
    return value;
  }

  /**
   * Reads "yes" or "no" as a boolean.
   * @param key - The setting.
   */
  getBoolean(key: string): boolean {
    const text = this._getString(key, "yes or no");
    if (text !== "yes" && text !== "no") {
      throw this.createError(key, text, "yes or no");
    }
    return text === "yes";
  }

  /**
   * Reads a list of words separated by commas.
   * @param key - The setting.
   * @param choices - Allowed words; each may occur once.
   */
  getChoices<T extends string>(key: string, choices: readonly T[]): readonly T[] {
    const allowed = `a list of ${choices.join(", ")}, each at most once`;
    const text = this._getString(key, allowed);
    const words = text
      .split(",")
      .map((word) => word.trim())
      .filter((word) => word !== "");
    const known = words.flatMap((word) => choices.filter((choice) => choice === word));
    if (known.length !== words.length || new Set(words).size !== words.length) {
      throw this.createError(key, text, allowed);
    }
    return known;
  }

  /** Reads all settings as strings. */
  getStrings(): Readonly<Record<string, string>> {
    return Object.fromEntries(
      [...this._settings.keys()].map((key) => [key, this._getString(key, "a name")]),
    );
  }

  /**
   * Reads all settings as integers.
   * @param min - Minimum.
   * @param max - Maximum.
   */
  getIntegers(min: number, max: number): Readonly<Record<string, number>> {
    return Object.fromEntries(
      [...this._settings.keys()].map((key) => [key, this.getInteger(key, min, max)]),
    );
  }

  /** Throws if the section has a setting that was never read; its key is unknown. */
  rejectUnknownKeys(): void {
    const unknown = [...this._settings.keys()].find((key) => !this._readKeys.has(key));
    if (unknown === undefined) {
      return;
    }
    const known = [...this._readKeys].join(", ");
    throw this.createError(unknown, String(this._settings.get(unknown)), `one of ${known}`);
  }

  /** The INI library returns a list where a key occurs twice, also over repeated sections. */
  private _getString(key: string, allowed: string): string {
    this._readKeys.add(key);
    const raw = this._settings.get(key);
    if (raw === undefined) {
      throw this.createError(key, "(missing)", allowed);
    }
    const values: readonly unknown[] = Array.isArray(raw) ? raw : [raw];
    if (values.length > 1) {
      throw this.createError(key, values.join(" and "), "the setting once");
    }
    return String(values[0]).trim();
  }
}
