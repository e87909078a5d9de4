/**
 * An HTML page that compares the measurements of one or several runs in charts and tables.
 */
import type { ResultLine } from "../ResultLine.ts";
import {
  groupIntoCharts,
  MeasurementChart,
  getSeries,
  type ComparedLine,
} from "./MeasurementChart.ts";

const ESCAPES: Readonly<Record<string, string>> = {
  "&": "&amp;",
  "<": "&lt;",
  ">": "&gt;",
  '"': "&quot;",
};

/** Report on the measurements of one or several runs. */
export class Report {
  private readonly _runs: readonly string[];
  private readonly _lines: readonly ComparedLine[];

  /**
   * Creates the report.
   * @param runs - Measurements of each run, in the order in which the runs are shown.
   */
  constructor(runs: readonly (readonly ResultLine[])[]) {
    const named = runs.map((lines, i) => ({ run: nameRun(lines, i), lines }));
    this._runs = named.map(({ run }) => run);
    this._lines = named.flatMap(({ run, lines }) => lines.map((line) => ({ run, line })));
  }

  /** Renders the report as HTML. */
  async toHtml(): Promise<string> {
    const groups = Map.groupBy(this._lines, ({ line }) =>
      JSON.stringify([line.title, line.name, line.unit]),
    );
    const sections = await Promise.all([...groups.values()].map((group) => this._draw(group)));
    return [
      "<!doctype html>",
      '<html lang="en"><head><meta charset="utf-8"><title>Measurements</title>',
      "<style>body{font-family:sans-serif;margin:2em}td,th{padding:0 1em;text-align:left}</style>",
      "</head><body><h1>Measurements</h1>",
      ...this._runs.map((run) => `<p>${escapeHtml(run)}</p>`),
      ...sections,
      "</body></html>",
    ].join("\n");
  }

  private async _draw(group: readonly ComparedLine[]): Promise<string> {
    const first = group[0]?.line;
    const heading = `${first?.title ?? ""}: ${first?.name ?? ""} (${first?.unit ?? ""})`;
    const charts = await Promise.all(
      [...groupIntoCharts(group)].map(async ([labels, lines]) => {
        const svg = await new MeasurementChart(lines).toSvg();
        return `<h3>${escapeHtml(labels)}</h3>\n${svg}`;
      }),
    );
    const table = this._createTable(group);
    return `<h2>${escapeHtml(heading)}</h2>\n${charts.join("\n")}\n${table}`;
  }

  private _createTable(group: readonly ComparedLine[]): string {
    const rows = Map.groupBy(group, ({ line }) =>
      [getSeries(line), line.labels.percentile ?? ""].join(" ").trim(),
    );
    const head = ["", ...this._runs].map((run) => `<th>${escapeHtml(run)}</th>`).join("");
    const body = [...rows].map(([name, lines]) => {
      const values = this._runs.map((run) => lines.find((line) => line.run === run)?.line.value);
      const cells = values.map((value) => `<td>${value === undefined ? "" : format(value)}</td>`);
      return `<tr><td>${escapeHtml(name)}</td>${cells.join("")}</tr>`;
    });
    return `<table><tr>${head}</tr>\n${body.join("\n")}</table>`;
  }
}

function nameRun(lines: readonly ResultLine[], index: number): string {
  const [first] = lines;
  const origin = first === undefined ? "no measurements" : `${first.commit} seed ${first.seed}`;
  return `${index + 1}: ${origin}`;
}

function format(value: number): string {
  return String(Number(value.toPrecision(6)));
}

function escapeHtml(text: string): string {
  return text.replace(/[&<>"]/g, (character) => ESCAPES[character] ?? character);
}
