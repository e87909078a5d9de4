/**
 * Refusal of a request whose handling failed by a fault of the program.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { sendRefusal } from "./sendRefusal.ts";

/**
 * Refuses a request whose handling failed at a point that is not known, so that it may have run.
 * @param req - The request.
 * @param res - Response of this hop.
 */
export function refuseUnhandled(req: IncomingMessage, res: ServerResponse): void {
  req.resume();
  const detail = "the request could not be handled";
  sendRefusal(res, { code: "internal-error", verdict: "may-have-run", detail });
}
