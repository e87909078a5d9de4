/**
 * A documentation page with sections that are generated from the sources, each between two markers:
 * `<!-- begin NAME -->` and `<!-- end NAME -->`.
 */
import { readFileSync, writeFileSync } from "node:fs";
import { format, resolveConfig } from "prettier";
import { SECTIONS } from "./sections.ts";

const SECTION_PATTERN = /<!-- begin ([a-z-]+) -->[^]*?<!-- end \1 -->/g;

/** Pages that have generated sections. */
export const REFERENCE_PAGES: readonly string[] = ["docs/OPERATIONS.md", "docs/CLI.md"];

/** A page with generated sections. */
export class ReferencePage {
  private readonly _file: string;

  /**
   * Creates the page.
   * @param file - Path of the page.
   */
  constructor(file: string) {
    this._file = file;
  }

  /** Returns whether the generated sections match the sources. */
  async isCurrent(): Promise<boolean> {
    return (await this._render()) === this._read();
  }

  /** Regenerates the sections of the page. */
  async update(): Promise<void> {
    writeFileSync(this._file, await this._render());
  }

  /** Gets the names of the generated sections. */
  getSectionNames(): readonly string[] {
    return [...this._read().matchAll(SECTION_PATTERN)].map(([, name = ""]) => name);
  }

  private _read(): string {
    return readFileSync(this._file, "utf8");
  }

  private async _render(): Promise<string> {
    const text = this._read().replace(SECTION_PATTERN, (_, name: string) => {
      const render = SECTIONS[name];
      if (render === undefined) {
        throw new Error(`${this._file}: unknown section ${name}`);
      }
      return `<!-- begin ${name} -->\n\n${render()}\n\n<!-- end ${name} -->`;
    });
    const options = await resolveConfig(this._file);
    return format(text, { ...options, parser: "markdown" });
  }
}
