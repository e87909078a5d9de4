/**
 * Schema of a settings file and the types that follow from it: sections of settings in the file,
 * plain read-only objects with camel-case members in the code.
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

/** Values of a schema: "max_body_bytes" of the file is the member "maxBodyBytes". */
export type SettingsValues<S> = { readonly [K in keyof S]: SectionValues<S[K]> };

/**
 * Turns the key of a file into the name of a member.
 * @param key - Key such as "max_body_bytes".
 */
export function toCamelCase(key: string): string {
  return key.replace(/_([a-z])/g, (_, letter: string) => letter.toUpperCase());
}
