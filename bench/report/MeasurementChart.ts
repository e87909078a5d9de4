/**
 * A chart of all measurements of one name, rendered as SVG by Vega. One chart compares all runs.
 */
import { parse, View } from "vega";
import { compile, type TopLevelSpec } from "vega-lite";
import type { ResultLine } from "../ResultLine.ts";

const PERCENTILE_LABEL = "percentile";
const CHART_WIDTH = 640;
const BAR_STEP = 18;
const PERCENTILE_HEIGHT = 260;
/** Maximum number of series that are legible in one chart. */
const MAX_SERIES = 8;

/** A measurement of one of the compared runs. */
export interface ComparedLine {
  readonly run: string;
  readonly line: ResultLine;
}

/** Chart of the measurements of one name. */
export class MeasurementChart {
  private readonly _lines: readonly ComparedLine[];

  /**
   * Creates the chart.
   * @param lines - Measurements of one name and unit, from one or several runs.
   */
  constructor(lines: readonly ComparedLine[]) {
    this._lines = lines;
  }

  /** Renders the chart as SVG. */
  async toSvg(): Promise<string> {
    const byPercentile = this._lines.some(({ line }) => PERCENTILE_LABEL in line.labels);
    const spec = byPercentile ? this._createPercentiles() : this._createBars();
    const view = new View(parse(compile(spec).spec), { renderer: "none" });
    const svg = await view.toSVG();
    view.finalize();
    return svg;
  }

  private _createPercentiles(): TopLevelSpec {
    return {
      data: { values: this._lines.map(toRow) },
      width: CHART_WIDTH,
      height: PERCENTILE_HEIGHT,
      mark: { type: "line", point: true },
      encoding: {
        x: { field: "percentile", type: "ordinal", sort: null, title: "percentile" },
        y: { field: "value", type: "quantitative", title: this._getTitle() },
        color: { field: "series", type: "nominal", title: null },
        strokeDash: { field: "run", type: "nominal", title: null },
      },
    };
  }

  private _createBars(): TopLevelSpec {
    return {
      data: { values: this._lines.map(toRow) },
      width: CHART_WIDTH,
      height: { step: BAR_STEP },
      mark: "bar",
      encoding: {
        y: { field: "series", type: "nominal", sort: null, title: null },
        yOffset: { field: "run", type: "nominal", sort: null },
        x: { field: "value", type: "quantitative", title: this._getTitle() },
        color: { field: "run", type: "nominal", sort: null, title: null },
      },
    };
  }

  private _getTitle(): string {
    const first = this._lines[0]?.line;
    return first === undefined ? "" : `${first.name} (${first.unit})`;
  }
}

/** Gets the labels of a measurement without its percentile. */
function getLabels(line: ResultLine): readonly (readonly [string, string])[] {
  return Object.entries(line.labels).filter(([name]) => name !== PERCENTILE_LABEL);
}

function formatLabels(labels: readonly (readonly [string, string])[]): string {
  return labels.map(([name, value]) => `${name}=${value}`).join(" ");
}

/**
 * Gets the name of the series of a measurement: its labels without the percentile.
 * @param line - The measurement.
 */
export function getSeries(line: ResultLine): string {
  const labels = getLabels(line);
  return labels.length === 0 ? line.name : formatLabels(labels);
}

/**
 * Groups measurements into charts: one chart if it stays legible, else one for each combination of
 * all labels except the last.
 * @param lines - Measurements of one name and unit.
 * @returns Measurements of each chart by the labels that they share.
 */
export function groupIntoCharts(
  lines: readonly ComparedLine[],
): ReadonlyMap<string, readonly ComparedLine[]> {
  const series = new Set(lines.map(({ line }) => getSeries(line)));
  if (series.size <= MAX_SERIES) {
    return new Map([["", lines]]);
  }
  return Map.groupBy(lines, ({ line }) => formatLabels(getLabels(line).slice(0, -1)));
}

function toRow({ run, line }: ComparedLine): Readonly<Record<string, string | number>> {
  const percentile = line.labels[PERCENTILE_LABEL] ?? "";
  return { run, series: getSeries(line), percentile, value: line.value };
}
