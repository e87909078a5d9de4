/**
 * Creates the listener of an HTTP server from an asynchronous handler. A fault in the handling of
 * one request concerns this request alone: unhandled, its rejection would end the process.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Log } from "../../protocol/platform/Log.ts";

/** Listener of an HTTP server. */
export type HttpListener = (req: IncomingMessage, res: ServerResponse) => void;

/**
 * Creates a listener that answers a request whose handling fails; with status 400 by default.
 * @param handle - Handles and answers a request.
 * @param log - Log for failures.
 * @param respond - Answers a request whose handling failed.
 */
export function createListener(
  handle: (req: IncomingMessage, res: ServerResponse) => Promise<void>,
  log: Log,
  respond: HttpListener = reject,
): HttpListener {
  return (req, res) => {
    handle(req, res).catch((cause: unknown) => {
      const { method, url: path } = req;
      log.error("A request could not be handled; it is rejected.", {
        ...{ method, path, reason: String(cause) },
        stack: cause instanceof Error ? cause.stack : undefined,
      });
      respond(req, res);
    });
  };
}

function reject(_: IncomingMessage, res: ServerResponse): void {
  if (!res.headersSent) {
    res.writeHead(400, { "content-type": "application/json" });
    res.end(JSON.stringify({ error: "the request could not be handled" }));
    return;
  }
  // What was sent of the response is not all of it.
  res.destroy();
}
