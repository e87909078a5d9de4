/**
 * HTTP server of a stand-in with JSON bodies, which can also close a connection or never respond.
 */
import { createServer } from "node:http";
import type { IncomingHttpHeaders, IncomingMessage, Server, ServerResponse } from "node:http";
import { once } from "node:events";
import { parseAddress } from "./address.ts";

/** Request with its parsed body; the body is undefined if it is empty. */
export interface JsonRequest {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  readonly headers: IncomingHttpHeaders;
  readonly body: unknown;
  /** Aborts when the connection or the response is closed. */
  readonly disconnected: AbortSignal;
}

/** Action for a request: send a response, close the connection, or never respond. */
export type JsonReply =
  | { readonly kind: "answer"; readonly status: number; readonly body: unknown }
  | { readonly kind: "cut" }
  | { readonly kind: "hang" };

/** Handler of all requests of a server. */
export type JsonHandler = (req: JsonRequest) => Promise<JsonReply> | JsonReply;

/**
 * Creates a JSON response.
 * @param body - Body, sent as JSON.
 * @param status - HTTP status.
 */
export function createReply(body: unknown, status = 200): JsonReply {
  return { kind: "answer", status, body };
}

/** HTTP server of a stand-in. */
export class JsonServer {
  private readonly _address: string;
  private readonly _handler: JsonHandler;
  private _server: Server | undefined;

  /**
   * Creates a server that does not listen yet.
   * @param address - Address to listen on, as "host:port".
   * @param handler - Handler of all requests.
   */
  constructor(address: string, handler: JsonHandler) {
    this._address = address;
    this._handler = handler;
  }

  /** Starts listening; does nothing if the server is listening. */
  async start(): Promise<void> {
    if (this._server !== undefined) {
      return;
    }
    const server = createServer((req, res) => {
      void this._serve(req, res);
    });
    this._server = server;
    server.listen(parseAddress(this._address));
    await once(server, "listening");
  }

  /** Stops listening and closes all connections; new ones are then refused. */
  async stop(): Promise<void> {
    const server = this._server;
    if (server === undefined) {
      return;
    }
    this._server = undefined;
    server.close();
    server.closeAllConnections();
    await once(server, "close");
  }

  /** Closes all connections, including those of requests that get no response. */
  cutConnections(): void {
    this._server?.closeAllConnections();
  }

  private async _serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const controller = new AbortController();
    res.on("close", () => {
      controller.abort();
    });
    const reply = await this._reply(req, controller.signal).catch((err: unknown) =>
      createReply({ error: String(err) }, 400),
    );
    if (reply.kind === "cut") {
      req.socket.destroy();
    } else if (reply.kind === "answer") {
      res.writeHead(reply.status, { "content-type": "application/json" });
      res.end(JSON.stringify(reply.body));
    }
  }

  private async _reply(req: IncomingMessage, disconnected: AbortSignal): Promise<JsonReply> {
    const chunks = (await req.toArray()) as readonly Buffer[];
    const text = Buffer.concat(chunks).toString();
    const url = new URL(req.url ?? "/", "http://standin");
    return this._handler({
      method: req.method ?? "GET",
      path: url.pathname,
      query: url.searchParams,
      headers: req.headers,
      body: text === "" ? undefined : (JSON.parse(text) as unknown),
      disconnected,
    });
  }
}
