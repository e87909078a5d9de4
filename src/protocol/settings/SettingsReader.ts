/**
 * Reads a settings file in INI format by its schema. Every problem of the file is reported, so that
 * an operator can correct them all at once.
 */
import { parse } from "ini";
import { err, ok, type Result } from "neverthrow";
import { SettingError } from "../errors/errors.ts";
import type { Setting } from "./Setting.ts";
import {
  toCamelCase,
  type SectionSchema,
  type SettingsSchema,
  type SettingsValues,
} from "./SettingsSchema.ts";

type ParsedSection = Readonly<Record<string, unknown>>;

/** Reads settings files of one schema. */
export class SettingsReader<S extends SettingsSchema> {
  private readonly _schema: S;

  /**
   * Creates the reader.
   * @param schema - Schema of the files.
   */
  constructor(schema: S) {
    this._schema = schema;
  }

  /**
   * Reads a file.
   * @param file - Name of the file, for errors.
   * @param text - Text of the file.
   */
  read(file: string, text: string): Result<SettingsValues<S>, readonly SettingError[]> {
    const parsed = parse(text, { bracketedArray: false }) as ParsedSection;
    const problems = Object.entries(parsed).flatMap(([section, content]) =>
      this._findUnknownKeys(file, section, content),
    );
    const values = Object.fromEntries(
      Object.entries(this._schema).map(([section, schema]) => [
        section,
        this._readSection({ file, section, schema, content: parsed[section], problems }),
      ]),
    );
    return problems.length > 0 ? err(problems) : ok(values as SettingsValues<S>);
  }

  private _findUnknownKeys(file: string, section: string, content: unknown): SettingError[] {
    if (!isSection(content)) {
      const allowed = "a key within a section";
      return [
        new SettingError({ file, section: "", key: section, value: formatValue(content), allowed }),
      ];
    }
    const schema = this._schema[section];
    if (schema === undefined) {
      const allowed = `one of the sections ${Object.keys(this._schema).join(", ")}`;
      return [new SettingError({ file, section, key: "", value: "", allowed })];
    }
    const allowed = `one of the keys ${Object.keys(schema).join(", ")}`;
    return Object.entries(content)
      .filter(([key]) => !Object.hasOwn(schema, key))
      .map(
        ([key, value]) =>
          new SettingError({ file, section, key, value: formatValue(value), allowed }),
      );
  }

  private _readSection(input: {
    readonly file: string;
    readonly section: string;
    readonly schema: SectionSchema;
    readonly content: unknown;
    readonly problems: SettingError[];
  }): Readonly<Record<string, unknown>> {
    const content = isSection(input.content) ? input.content : {};
    const read = (key: string, setting: Setting<unknown>): unknown => {
      const given = Object.hasOwn(content, key) ? formatValue(content[key]) : undefined;
      const value = given ?? setting.info.defaultText;
      const result = value === undefined ? err(undefined) : setting.parse(value);
      if (result.isErr()) {
        const location = { file: input.file, section: input.section, key };
        const allowed = setting.getAllowed();
        input.problems.push(
          new SettingError({ ...location, value: value ?? "(missing)", allowed }),
        );
        return undefined;
      }
      return result.value;
    };
    return Object.fromEntries(
      Object.entries(input.schema).map(([key, setting]) => [toCamelCase(key), read(key, setting)]),
    );
  }
}

/** Returns whether a value is a section: an object, but not a list of repeated values. */
function isSection(value: unknown): value is ParsedSection {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

/**
 * Formats a value as in the file; for a repeated key, all its values. The parser returns a list of
 * one value where the same key occurs in several sections.
 */
function formatValue(value: unknown): string {
  const single: unknown = Array.isArray(value) && value.length === 1 ? value[0] : value;
  return typeof single === "string" ? single : JSON.stringify(single);
}
