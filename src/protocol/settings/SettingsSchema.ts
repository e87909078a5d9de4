/**
 * Schema of a settings file and the types derived from it: sections of settings in the file, plain
 * read-only objects with camel-case members in the code.
 */
import type { Setting } from "./Setting.ts";

/** Settings of one section by key. */
export type SectionSchema = Readonly<Record<string, Setting<unknown>>>;

/** Sections by name. */
export type SettingsSchema = Readonly<Record<string, SectionSchema>>;

type CamelCase<S extends string> = S extends `${infer Head}_${infer Tail}`
  ? `${Head}${Capitalize<CamelCase<Tail>>}`
  : S;

type SettingValue<S> = S extends Setting<infer T> ? T : never;

type SectionValues<S> = {
  readonly [K in keyof S & string as CamelCase<K>]: SettingValue<S[K]>;
};

/** Values of a schema: key "max_body_bytes" of the file becomes member "maxBodyBytes". */
export type SettingsValues<S> = { readonly [K in keyof S]: SectionValues<S[K]> };

/**
 * Converts a key of a settings file to camel case.
 * @param key - Key such as "max_body_bytes".
 */
export function toCamelCase(key: string): string {
  return key.replace(/_([a-z])/g, (_, letter: string) => letter.toUpperCase());
}
