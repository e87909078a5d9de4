/**
 * Settings templates and commands of the deploy file, filled in as the platform does.
 */
import { readFileSync } from "node:fs";

/** Values of a process's settings; nested as in the platform's settings file. */
export interface SettingValues {
  readonly [name: string]: string | number | SettingValues | readonly (string | number)[];
}

/**
 * Fills in a settings template.
 * @param file - Path of the template.
 * @param values - The values.
 */
export function renderTemplate(file: string, values: SettingValues): string {
  return readFileSync(file, "utf8").replace(/\{\{([\w.]+)\}\}/g, (_, path: string) => {
    const found = path
      .split(".")
      .reduce<unknown>((value, name) => (value as Record<string, unknown>)[name], values);
    return String(found);
  });
}

/**
 * Returns the words of the command of a role in the deploy file.
 * @param role - Name of the role.
 */
export function readRunCommand(role: string): readonly string[] {
  const text = readFileSync("deploy/system.toml", "utf8");
  const section = text.split(`[roles.${role}]`)[1] ?? "";
  return (/^run = "(.*)"$/m.exec(section)?.[1] ?? "").split(" ");
}
