/**
 * Server for the Connect services of a process, over HTTP/2 without TLS.
 */
import { createServer, type Http2Server, type ServerHttp2Session } from "node:http2";
import type { ConnectRouter } from "@connectrpc/connect";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import type { ResultAsync } from "neverthrow";
import type { ListenError } from "../../protocol/errors/errors.ts";
import { listen } from "../http/listen.ts";

/** Control server of one process. */
export class ControlServer {
  private readonly _server: Http2Server;
  private readonly _sessions = new Set<ServerHttp2Session>();

  /**
   * Creates the server; it does not listen yet.
   * @param routes - Callback that registers the services.
   */
  constructor(routes: (router: ConnectRouter) => void) {
    this._server = createServer(connectNodeAdapter({ routes }));
    this._server.on("session", (session) => {
      this._sessions.add(session);
      session.on("close", () => this._sessions.delete(session));
    });
  }

  /**
   * Starts listening.
   * @param address - Address as host:port.
   * @param setting - Setting that holds the address, as "[section] key".
   */
  listen(address: string, setting: string): ResultAsync<string, ListenError> {
    return listen(this._server, setting, address);
  }

  /** Stops listening and waits for the calls in progress. */
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
