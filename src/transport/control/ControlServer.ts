/**
 * The control interface of a process: Connect services over HTTP/2 without TLS.
 */
import { createServer, type Http2Server, type ServerHttp2Session } from "node:http2";
import type { ConnectRouter } from "@connectrpc/connect";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import type { ResultAsync } from "neverthrow";
import type { ListenError } from "../../protocol/errors/errors.ts";
import { listen } from "../http/listen.ts";

/** Control interface of one process. */
export class ControlServer {
  private readonly _server: Http2Server;
  private readonly _sessions = new Set<ServerHttp2Session>();

  /**
   * Creates the interface; it does not listen yet.
   * @param routes - Registers the services.
   */
  constructor(routes: (router: ConnectRouter) => void) {
    this._server = createServer(connectNodeAdapter({ routes }));
    this._server.on("session", (session) => {
      this._sessions.add(session);
      session.on("close", () => this._sessions.delete(session));
    });
  }

  /**
   * Starts to listen.
   * @param address - Address as host:port.
   * @param setting - Setting that holds the address, as "[section] key".
   */
  listen(address: string, setting: string): ResultAsync<string, ListenError> {
    return listen(this._server, setting, address);
  }

  /** Stops listening and lets the calls under way end. */
  async close(): Promise<void> {
    const closed = new Promise<void>((resolve) => {
      this._server.close(() => {
        resolve();
      });
    });
    this._sessions.forEach((session) => {
      session.close();
    });
    await closed;
  }
}
