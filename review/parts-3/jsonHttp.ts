/**
 * JSON over HTTP/1.1 for the stand-ins of these cases: a server whose connections can be cut at once,
 * and a call with a timeout.
 */
import { createServer, request, type IncomingHttpHeaders, type Server } from "node:http";
import { once } from "node:events";
import { createServer as createTcpServer, type Socket } from "node:net";

const HOST = "127.0.0.1";
const FIRST_PORT = 20_000;
const PORTS = 12_000;

/** A request as a stand-in gets it. */
export interface JsonRequest {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  readonly headers: IncomingHttpHeaders;
  readonly body: unknown;
}

/** Response of a stand-in. */
export interface JsonReply {
  readonly status: number;
  readonly body: unknown;
}

/** Response that a client got; status 0 stands for none. */
export interface ClientReply {
  readonly status: number;
  readonly body: Readonly<Record<string, unknown>>;
}

/** Server that can crash and listen again. */
export class JsonServer {
  readonly address: string;
  private readonly _handle: (req: JsonRequest) => Promise<JsonReply> | JsonReply;
  private readonly _sockets = new Set<Socket>();
  private _server: Server | undefined;

  /**
   * Creates a server that does not listen yet.
   * @param address - Address as "host:port".
   * @param handle - Answers a request.
   */
  constructor(address: string, handle: (req: JsonRequest) => Promise<JsonReply> | JsonReply) {
    this.address = address;
    this._handle = handle;
  }

  /** Starts listening. */
  async listen(): Promise<void> {
    const server = createServer((req, res) => {
      const chunks: Buffer[] = [];
      req.on("data", (chunk: Buffer) => chunks.push(chunk));
      req.on("end", () => {
        const url = new URL(req.url ?? "/", "http://stand-in");
        const text = Buffer.concat(chunks).toString("utf8");
        const { method = "", headers } = req;
        const body: unknown = text === "" ? undefined : JSON.parse(text);
        const call = { method, path: url.pathname, query: url.searchParams, headers, body };
        void Promise.resolve(this._handle(call)).then((reply) => {
          res.writeHead(reply.status, { "content-type": "application/json" });
          res.end(JSON.stringify(reply.body));
        });
      });
    });
    server.on("connection", (socket: Socket) => {
      this._sockets.add(socket);
      socket.on("close", () => this._sockets.delete(socket));
    });
    this._server = server;
    const [host = HOST, port = "0"] = this.address.split(":");
    server.listen(Number(port), host);
    await once(server, "listening");
  }

  /** Stops listening and resets all connections, as the end of a process does. */
  async crash(): Promise<void> {
    const server = this._server;
    this._server = undefined;
    const closed = new Promise<void>((resolve) => {
      if (server === undefined) {
        resolve();
      } else {
        server.close(() => {
          resolve();
        });
      }
    });
    this._sockets.forEach((socket) => {
      socket.resetAndDestroy();
    });
    await closed;
  }
}

/**
 * Makes a call; one without a response returns status 0.
 * @param address - Address as "host:port".
 * @param options - The call.
 */
export async function callJson(
  address: string,
  options: {
    readonly method: string;
    readonly path: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: unknown;
    readonly timeoutMs?: number;
  },
): Promise<ClientReply> {
  const { method, path, headers, body, timeoutMs = 3_000 } = options;
  return new Promise((resolve) => {
    const [host = HOST, port] = address.split(":");
    const fail = (): void => {
      resolve({ status: 0, body: {} });
    };
    const req = request(
      { host, port, method, path, headers: { "content-type": "application/json", ...headers } },
      (res) => {
        const chunks: Buffer[] = [];
        res.on("data", (chunk: Buffer) => chunks.push(chunk));
        res.on("error", fail);
        res.on("end", () => {
          resolve({
            status: res.statusCode ?? 0,
            body: readObject(Buffer.concat(chunks).toString("utf8")),
          });
        });
      },
    );
    req.setTimeout(timeoutMs, () => {
      req.destroy();
      fail();
    });
    req.on("error", fail);
    req.end(body === undefined ? undefined : JSON.stringify(body));
  });
}

const taken = new Set<number>();

/**
 * Finds free ports of the loopback address, below those that outgoing connections get, so that none
 * is taken before its server listens.
 * @param count - Number of addresses.
 */
export async function findFreeAddresses(count: number): Promise<readonly string[]> {
  const found: string[] = [];
  while (found.length < count) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORTS);
    if (!taken.has(port) && (await isFree(port))) {
      taken.add(port);
      found.push(`${HOST}:${port}`);
    }
  }
  return found;
}

async function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createTcpServer();
    server.once("error", () => {
      resolve(false);
    });
    server.listen(port, HOST, () => {
      server.close(() => {
        resolve(true);
      });
    });
  });
}

function readObject(text: string): Readonly<Record<string, unknown>> {
  try {
    return JSON.parse(text) as Readonly<Record<string, unknown>>;
  } catch {
    return {};
  }
}
