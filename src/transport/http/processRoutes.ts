/**
 * Routes of every process: health and log level.
 */
import { z } from "zod";
import { LOG_LEVELS, type LogLevel } from "../../protocol/settings/LogLevel.ts";
import type { ApiRoute } from "./ApiRoute.ts";

const levelBodySchema = z.object({ level: z.enum(LOG_LEVELS) }).strict();

/** Log whose level can be read and changed. */
export interface LogLevelControl {
  getLevel(): LogLevel;
  setLevel(level: LogLevel): void;
}

/**
 * Creates the routes for health and log level.
 * @param getUnreadyReasons - Returns the reasons why the process is not ready; empty if it is ready.
 * @param log - Log of the process.
 */
export function createProcessRoutes(
  getUnreadyReasons: () => readonly string[],
  log: LogLevelControl,
): readonly ApiRoute[] {
  return [
    {
      method: "GET",
      path: "/health/live",
      handle: () => Promise.resolve({ status: 200, body: { live: true } }),
    },
    {
      method: "GET",
      path: "/health/ready",
      handle: () => {
        const reasons = getUnreadyReasons();
        const ready = reasons.length === 0;
        return Promise.resolve({ status: ready ? 200 : 503, body: { ready, reasons } });
      },
    },
    {
      method: "GET",
      path: "/v1/log-level",
      handle: () => Promise.resolve({ status: 200, body: { level: log.getLevel() } }),
    },
    {
      method: "PUT",
      path: "/v1/log-level",
      handle: (req) => {
        const body = levelBodySchema.safeParse(req.body);
        if (!body.success) {
          const detail = `level must be one of ${LOG_LEVELS.join(", ")}`;
          return Promise.resolve({ status: 400, body: { code: "bad-request", detail } });
        }
        log.setLevel(body.data.level);
        return Promise.resolve({ status: 200, body: { level: body.data.level } });
      },
    },
  ];
}
