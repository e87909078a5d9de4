/**
 * Parses and formats the configuration document as an INI file.
 */
import { parse, stringify } from "ini";
import { SettingError } from "../errors/errors.ts";
import { EMPTY_DOCUMENT, type ConfigDocument, type Profile } from "./ConfigDocument.ts";
import { findDocumentProblem } from "./documentProblems.ts";
import { ConfigFileSection } from "./ConfigFileSection.ts";

const MILLI_PER_CORE = 1000;
const BYTES_PER_MIB = 1024 * 1024;
const ALLOWED_SECTIONS =
  "[profile NAME], [profile NAME heat LEVEL], [assignments], [quota TENANT], [class NAME] or [heat-levels]";

type HeatSettings = Profile["heat"][number];

/** A section of a file with the words of its name. */
interface ParsedSection {
  readonly words: readonly string[];
  readonly section: ConfigFileSection;
}

/**
 * Parses a document from the text of an INI file.
 * @param text - Text of the file.
 * @param file - Name of the file, for errors.
 * @throws SettingError where the file is invalid.
 */
export function parseConfigFile(text: string, file: string): ConfigDocument {
  const sections = getSections(text, file);
  const document = sections.reduce(applySection, EMPTY_DOCUMENT);
  const problem = findDocumentProblem(document);
  if (problem !== undefined) {
    throw new SettingError({ file, ...problem });
  }
  return document;
}

/**
 * Formats a document as the text of an INI file.
 * @param document - The document.
 */
export function formatConfigFile(document: ConfigDocument): string {
  const profiles = Object.entries(document.profiles).flatMap(([name, profile]) => [
    formatSection(`profile ${name}`, getProfileSettings(profile)),
    ...profile.heat.map((heat) =>
      formatSection(`profile ${name} heat ${heat.level}`, {
        "start-tasks": formatBoolean(heat.startTasks),
        "throttle-percent": heat.throttlePercent,
        evict: formatBoolean(heat.evict),
      }),
    ),
  ]);
  const quotas = Object.entries(document.quotas).map(([tenant, quota]) =>
    formatSection(`quota ${tenant}`, {
      "processors-cores": quota.processorsMilli / MILLI_PER_CORE,
      "memory-mib": quota.memoryBytes / BYTES_PER_MIB,
      accelerators: quota.accelerators,
      weight: quota.weight,
    }),
  );
  const classes = Object.entries(document.classes).map(([name, limit]) =>
    formatSection(`class ${name}`, {
      "queue-limit": limit.queueLimit,
      priority: limit.priority,
    }),
  );
  return [
    ...profiles,
    formatSection("assignments", document.assignments),
    ...quotas,
    ...classes,
    formatSection("heat-levels", document.heatLevels),
  ].join("\n");
}

function formatBoolean(value: boolean): string {
  return value ? "yes" : "no";
}

function getProfileSettings(profile: Profile): Readonly<Record<string, string | number>> {
  return {
    "headroom-processors-cores": profile.headroomProcessorsMilli / MILLI_PER_CORE,
    "headroom-memory-mib": profile.headroomMemoryBytes / BYTES_PER_MIB,
    "latency-objective-ms": profile.latencyObjectiveMs,
    "tolerated-disturbance-percent": profile.toleratedDisturbancePercent,
    "yield-order": profile.yieldOrder.join(", "),
    "throttle-floor-percent": profile.throttleFloorPercent,
    "max-evictions-per-minute": profile.maxEvictionsPerMinute,
  };
}

function formatSection(name: string, settings: Readonly<Record<string, string | number>>): string {
  const body = stringify(settings, { whitespace: true, platform: "linux" });
  return `[${name}]\n${body}`;
}

/** The INI library parses a dot in a section's name as nesting; this joins the parts again. */
function getSections(text: string, file: string): readonly ParsedSection[] {
  const root: Readonly<Record<string, unknown>> = parse(text, { bracketedArray: false });
  const stray = Object.entries(root).find(([, value]) => !isSection(value));
  if (stray !== undefined) {
    const [key, value] = stray;
    throw new SettingError({
      file,
      section: "",
      key,
      value: String(value),
      allowed: `a setting inside a section: ${ALLOWED_SECTIONS}`,
    });
  }
  return flatten(root, "").map(([name, settings]) => ({
    words: name.trim().split(/\s+/),
    section: new ConfigFileSection(file, name, settings),
  }));
}

function isSection(value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

function flatten(
  node: Readonly<Record<string, unknown>>,
  prefix: string,
): readonly (readonly [string, Readonly<Record<string, unknown>>])[] {
  return Object.entries(node).flatMap(([name, value]) => {
    if (!isSection(value)) {
      return [];
    }
    const path = prefix === "" ? name : `${prefix}.${name}`;
    const settings = Object.entries(value).filter(([, inner]) => !isSection(inner));
    const nested = flatten(value, path);
    const isLeaf = nested.length === 0;
    const own: (readonly [string, Readonly<Record<string, unknown>>])[] =
      settings.length > 0 || isLeaf ? [[path, Object.fromEntries(settings)]] : [];
    return [...own, ...nested];
  });
}

function applySection(document: ConfigDocument, parsed: ParsedSection): ConfigDocument {
  const { words, section } = parsed;
  const [kind, name, heat, level] = words;
  if (kind === "profile" && name !== undefined && words.length === 2) {
    return withProfile(document, name, readProfile(section, document.profiles[name]?.heat ?? []));
  }
  if (kind === "profile" && name !== undefined && heat === "heat" && words.length === 4) {
    return withHeat(document, name, readHeat(section, level ?? ""), section);
  }
  if (kind === "quota" && name !== undefined && words.length === 2) {
    return { ...document, quotas: { ...document.quotas, [name]: readQuota(section) } };
  }
  if (kind === "class" && name !== undefined && words.length === 2) {
    return { ...document, classes: { ...document.classes, [name]: readClass(section) } };
  }
  if (kind === "assignments" && words.length === 1) {
    return { ...document, assignments: section.getStrings() };
  }
  if (kind === "heat-levels" && words.length === 1) {
    return { ...document, heatLevels: section.getIntegers(0, 10) };
  }
  throw section.createError("", "", `a known section: ${ALLOWED_SECTIONS}`);
}

function withProfile(document: ConfigDocument, name: string, profile: Profile): ConfigDocument {
  return { ...document, profiles: { ...document.profiles, [name]: profile } };
}

function withHeat(
  document: ConfigDocument,
  name: string,
  heat: HeatSettings,
  section: ConfigFileSection,
): ConfigDocument {
  const profile = Object.hasOwn(document.profiles, name) ? document.profiles[name] : undefined;
  if (profile === undefined) {
    throw section.createError("", "", `a section [profile ${name}] above this one`);
  }
  return withProfile(document, name, { ...profile, heat: [...profile.heat, heat] });
}

function readProfile(section: ConfigFileSection, heat: readonly HeatSettings[]): Profile {
  const profile = {
    headroomProcessorsMilli: Math.round(
      section.getNumber("headroom-processors-cores", 0, 1000) * MILLI_PER_CORE,
    ),
    headroomMemoryBytes: Math.round(
      section.getNumber("headroom-memory-mib", 0, 100_000_000) * BYTES_PER_MIB,
    ),
    latencyObjectiveMs: section.getNumber("latency-objective-ms", Number.MIN_VALUE, 600_000),
    toleratedDisturbancePercent: section.getNumber("tolerated-disturbance-percent", 0, 1000),
    yieldOrder: section.getChoices("yield-order", ["throttle", "checkpoint", "evict"] as const),
    throttleFloorPercent: section.getInteger("throttle-floor-percent", 0, 100),
    maxEvictionsPerMinute: section.getInteger("max-evictions-per-minute", 0, 1000),
    heat,
  };
  section.rejectUnknownKeys();
  return profile;
}

function readHeat(section: ConfigFileSection, level: string): HeatSettings {
  const heat = {
    level: section.parseInteger("heat LEVEL", level, 0, 10),
    startTasks: section.getBoolean("start-tasks"),
    throttlePercent: section.getInteger("throttle-percent", 0, 100),
    evict: section.getBoolean("evict"),
  };
  section.rejectUnknownKeys();
  return heat;
}

function readQuota(section: ConfigFileSection): ConfigDocument["quotas"][string] {
  const quota = {
    processorsMilli: Math.round(
      section.getNumber("processors-cores", 0, 1_000_000_000) * MILLI_PER_CORE,
    ),
    memoryBytes: Math.round(section.getNumber("memory-mib", 0, 1_000_000_000) * BYTES_PER_MIB),
    accelerators: section.getInteger("accelerators", 0, 1_000_000),
    weight: section.getNumber("weight", Number.MIN_VALUE, 1000),
  };
  section.rejectUnknownKeys();
  return quota;
}

function readClass(section: ConfigFileSection): ConfigDocument["classes"][string] {
  const limit = {
    queueLimit: section.getInteger("queue-limit", 0, 10_000),
    priority: section.getInteger("priority", 0, 100),
  };
  section.rejectUnknownKeys();
  return limit;
}
