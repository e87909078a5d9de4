/**
 * A page with sections that are written from the sources, each between two markers:
 * `<!-- begin NAME -->` and `<!-- end NAME -->`.
 */
import { readFileSync, writeFileSync } from "node:fs";
import { format, resolveConfig } from "prettier";
import { SECTIONS } from "./sections.ts";

const SECTION_PATTERN = /<!-- begin ([a-z-]+) -->[^]*?<!-- end \1 -->/g;

/** Pages that have such sections. */
export const REFERENCE_PAGES: readonly string[] = ["docs/OPERATIONS.md", "docs/CLI.md"];

/** A page with written sections. */
export class ReferencePage {
  private readonly _file: string;

  /**
   * Creates the page.
   * @param file - Its file.
   */
  constructor(file: string) {
    this._file = file;
  }

  /** Whether the page's sections are as the sources say. */
  async isCurrent(): Promise<boolean> {
    return (await this._render()) === this._read();
  }

  /** Writes the page's sections anew. */
  async update(): Promise<void> {
    writeFileSync(this._file, await this._render());
  }

  /** Gives the names of the page's sections. */
  getSectionNames(): readonly string[] {
    return [...this._read().matchAll(SECTION_PATTERN)].map(([, name = ""]) => name);
  }

  private _read(): string {
    return readFileSync(this._file, "utf8");
  }

  private async _render(): Promise<string> {
    const text = this._read().replace(SECTION_PATTERN, (_, name: string) => {
      const write = SECTIONS[name];
      if (write === undefined) {
        throw new Error(`${this._file}: unknown section ${name}`);
      }
      return `<!-- begin ${name} -->\n\n${write()}\n\n<!-- end ${name} -->`;
    });
    const options = await resolveConfig(this._file);
    return format(text, { ...options, parser: "markdown" });
  }
}
