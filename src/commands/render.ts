/**
 * Formats values of the operator API for people: objects as lines, lists of objects as tables.
 */
import { isObject } from "./ApiClient.ts";

const INDENT = "  ";

/**
 * Formats a value as lines.
 * @param value - Value from a response.
 */
export function render(value: unknown): readonly string[] {
  if (Array.isArray(value)) {
    return renderList(value);
  }
  return isObject(value) ? renderObject(value) : [renderCell(value)];
}

function renderObject(value: Readonly<Record<string, unknown>>): readonly string[] {
  const entries = Object.entries(value);
  const width = Math.max(0, ...entries.filter(([, v]) => !isNested(v)).map(([k]) => k.length));
  return entries.flatMap(([key, inner]) =>
    isNested(inner)
      ? [`${key}:`, ...render(inner).map((line) => INDENT + line)]
      : [`${key.padEnd(width)}  ${renderCell(inner)}`],
  );
}

function renderList(values: readonly unknown[]): readonly string[] {
  if (values.length === 0) {
    return ["(none)"];
  }
  const rows = values.filter(isObject);
  return rows.length === values.length ? renderTable(rows) : values.map(renderCell);
}

function renderTable(rows: readonly Readonly<Record<string, unknown>>[]): readonly string[] {
  const keys = [...new Set(rows.flatMap((row) => Object.keys(row)))];
  const cells = [keys, ...rows.map((row) => keys.map((key) => renderCell(row[key])))];
  const widths = keys.map((_, i) => Math.max(...cells.map((row) => row[i]?.length ?? 0)));
  return cells.map((row) =>
    row
      .map((cell, i) => cell.padEnd(widths[i] ?? 0))
      .join(INDENT)
      .trimEnd(),
  );
}

/** Returns whether a value is shown on separate lines below its key. */
function isNested(value: unknown): boolean {
  return Array.isArray(value)
    ? value.some(isObject)
    : isObject(value) && Object.keys(value).length > 0;
}

function renderCell(value: unknown): string {
  if (value === undefined || value === null || value === "") {
    return "-";
  }
  if (Array.isArray(value)) {
    return value.length === 0 ? "-" : value.map(renderCell).join(", ");
  }
  return typeof value === "string" ? value : JSON.stringify(value);
}
