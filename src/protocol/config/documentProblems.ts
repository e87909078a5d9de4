/**
 * Validates a configuration document: its schema, references between names, and the order of heat
 * levels.
 */
import { configDocumentSchema, type ConfigDocument } from "./ConfigDocument.ts";

/** A problem of a document: its location, the value there and the allowed values. */
export interface DocumentProblem {
  readonly section: string;
  readonly key: string;
  readonly value: string;
  readonly allowed: string;
}

/**
 * Finds the first problem of a document.
 * @param document - The document.
 */
export function findDocumentProblem(document: ConfigDocument): DocumentProblem | undefined {
  return (
    findSchemaProblem(document) ?? findAssignmentProblem(document) ?? findHeatProblem(document)
  );
}

function findSchemaProblem(document: ConfigDocument): DocumentProblem | undefined {
  const parsed = configDocumentSchema.safeParse(document);
  const [issue] = parsed.error?.issues ?? [];
  if (issue === undefined) {
    return undefined;
  }
  const path = issue.path.map(String);
  const value = path.reduce<unknown>(
    (node, part) => (node as Readonly<Record<string, unknown>> | undefined)?.[part],
    document,
  );
  return {
    section: path.slice(0, -1).join(" "),
    key: path.at(-1) ?? "",
    value: value === undefined ? "" : JSON.stringify(value),
    allowed: issue.message,
  };
}

function findAssignmentProblem(document: ConfigDocument): DocumentProblem | undefined {
  const broken = Object.entries(document.assignments).find(
    ([, profile]) => !Object.hasOwn(document.profiles, profile),
  );
  if (broken === undefined) {
    return undefined;
  }
  const [service, profile] = broken;
  const names = Object.keys(document.profiles).join(", ");
  return {
    section: "assignments",
    key: service,
    value: profile,
    allowed: names === "" ? "a profile, but there is none" : `one of the profiles ${names}`,
  };
}

function findHeatProblem(document: ConfigDocument): DocumentProblem | undefined {
  const problems = Object.entries(document.profiles).flatMap(([name, profile]) =>
    profile.heat.flatMap((heat, index) => {
      const before = profile.heat[index - 1];
      return before !== undefined && heat.level <= before.level
        ? [
            {
              section: `profile ${name} heat ${heat.level}`,
              key: "level",
              value: String(heat.level),
              allowed: `more than ${before.level}, as levels must ascend`,
            },
          ]
        : [];
    }),
  );
  return problems[0];
}
