/**
 * Creates the listener of an HTTP server from an asynchronous handler. A fault in the handling of
 * one request concerns this request alone: unhandled, its rejection would end the process.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Log } from "../../protocol/platform/Log.ts";

/** Listener of an HTTP server. */
export type HttpListener = (req: IncomingMessage, res: ServerResponse) => void;

/**
 * Creates a listener that answers with status 400 if the handler fails.
 * @param handle - Handles and answers a request.
 * @param log - Log for failures.
 */
export function createListener(
  handle: (req: IncomingMessage, res: ServerResponse) => Promise<void>,
  log: Log,
): HttpListener {
  return (req, res) => {
    handle(req, res).catch((cause: unknown) => {
      const { method, url: path } = req;
      log.error("A request could not be handled; it is rejected.", {
        ...{ method, path, reason: String(cause) },
        stack: cause instanceof Error ? cause.stack : undefined,
      });
      reject(res);
    });
  };
}

function reject(res: ServerResponse): void {
  if (!res.headersSent) {
    res.writeHead(400, { "content-type": "application/json" });
    res.end(JSON.stringify({ error: "the request could not be handled" }));
    return;
  }
  // What was sent of the response is not all of it.
  res.destroy();
}
