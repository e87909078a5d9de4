/**
 * Responds to malformed HTTP requests with the same JSON as other refusals.
 */
import { STATUS_CODES, type Server, type ServerResponse } from "node:http";
import type { Duplex } from "node:stream";
import { getHttpStatus, type RefusalCode } from "../../protocol/Refusal.ts";
import { RequestHeaders } from "../../protocol/RequestHeaders.ts";

const CODE_BY_PARSER_ERROR: Readonly<Record<string, RefusalCode>> = {
  HPE_HEADER_OVERFLOW: "header-too-large",
  ERR_HTTP_REQUEST_TIMEOUT: "request-timeout",
};

/**
 * Makes a server respond to malformed HTTP requests with a refusal, unless it has already started a
 * response on the connection.
 * @param server - The server.
 * @param onRefusal - Called for each refusal that was sent.
 */
export function handleClientErrors(
  server: Server,
  onRefusal: (code: RefusalCode) => void = () => undefined,
): void {
  const responses = new WeakMap<Duplex, ServerResponse>();
  server.on("request", (req, res) => {
    responses.set(req.socket, res);
    res.once("close", () => {
      responses.delete(req.socket);
    });
  });
  server.on("clientError", (err: NodeJS.ErrnoException, socket) => {
    const isResponseStarted = responses.get(socket)?.headersSent ?? false;
    if (!socket.writable || isResponseStarted || err.code === "ECONNRESET") {
      socket.destroy();
      return;
    }
    const code = CODE_BY_PARSER_ERROR[err.code ?? ""] ?? "bad-request";
    onRefusal(code);
    socket.end(formatResponse(code, `malformed HTTP request: ${err.message}`));
  });
}

function formatResponse(code: RefusalCode, detail: string): string {
  const status = getHttpStatus(code);
  const body = JSON.stringify({ code, detail });
  return [
    `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ""}`,
    "content-type: application/json",
    `content-length: ${Buffer.byteLength(body)}`,
    `${RequestHeaders.verdict}: not-run`,
    `${RequestHeaders.refusal}: ${code}`,
    "connection: close",
    "",
    body,
  ].join("\r\n");
}
