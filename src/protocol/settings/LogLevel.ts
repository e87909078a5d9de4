/**
 * Levels of the log.
 */

/** All levels, from the least to the most severe. */
export const LOG_LEVELS = ["debug", "info", "warn", "error"] as const;

export type LogLevel = (typeof LOG_LEVELS)[number];

/**
 * Parses a log level.
 * @param text - Text as received.
 * @returns The level, or undefined for unknown text.
 */
export function parseLogLevel(text: string): LogLevel | undefined {
  return LOG_LEVELS.find((level) => level === text);
}
