/**
 * Levels of the log.
 */

/** All levels, from the most to the least talkative. */
export const LOG_LEVELS = ["debug", "info", "warn", "error"] as const;

export type LogLevel = (typeof LOG_LEVELS)[number];

/**
 * Reads a level.
 * @param text - Text as received; an unknown text gives undefined.
 */
export function parseLogLevel(text: string): LogLevel | undefined {
  return LOG_LEVELS.find((level) => level === text);
}
