/**
 * TCP proxy between two processes that injects faults, which can be changed at run time.
 */
import { once } from "node:events";
import { connect, createServer } from "node:net";
import type { Server, Socket } from "node:net";
import type { Clock } from "../../src/protocol/platform/Clock.ts";
import { SeededRandom } from "../../tests/support/SeededRandom.ts";
import { parseAddress } from "../support/address.ts";
import { NO_PROXY_FAULTS } from "./ProxyFaults.ts";
import type { ProxyFaults, ProxyFaultsChange } from "./ProxyFaults.ts";
import { ProxyPipe } from "./ProxyPipe.ts";

/** Connections and bytes of a proxy so far. */
export interface ProxyCounts {
  readonly connections: number;
  /** Connections that are open now. */
  readonly open: number;
  /** Connections that the proxy reset. */
  readonly cut: number;
  readonly upBytes: number;
  readonly downBytes: number;
}

interface Link {
  readonly up: ProxyPipe;
  readonly down: ProxyPipe;
  readonly cut: () => void;
}

/** TCP proxy from one address to one target. */
export class FaultProxy {
  private readonly _clock: Clock;
  private readonly _listen: string;
  private readonly _target: string;
  private readonly _links = new Set<Link>();
  private _server: Server | undefined;
  private _faults = NO_PROXY_FAULTS;
  private _random = new SeededRandom(NO_PROXY_FAULTS.seed);
  private _connections = 0;
  private _cut = 0;
  private _endedUpBytes = 0;
  private _endedDownBytes = 0;

  /**
   * Creates a proxy that does not listen yet.
   * @param clock - Clock of the delays of bytes.
   * @param listen - Address to listen on, as "host:port".
   * @param target - Address to connect to.
   */
  constructor(clock: Clock, listen: string, target: string) {
    this._clock = clock;
    this._listen = listen;
    this._target = target;
  }

  /** Address to which callers connect. */
  get address(): string {
    return this._listen;
  }

  /** Faults in effect. */
  get faults(): ProxyFaults {
    return this._faults;
  }

  /** Connections and bytes so far. */
  get counts(): ProxyCounts {
    const links = [...this._links];
    return {
      connections: this._connections,
      open: links.length,
      cut: this._cut,
      upBytes: links.reduce((sum, link) => sum + link.up.forwardedBytes, this._endedUpBytes),
      downBytes: links.reduce((sum, link) => sum + link.down.forwardedBytes, this._endedDownBytes),
    };
  }

  /** Starts listening; does nothing if the proxy is listening. */
  async start(): Promise<void> {
    if (this._server !== undefined) {
      return;
    }
    const server = createServer({ allowHalfOpen: true, noDelay: true }, (socket) => {
      this._accept(socket);
    });
    this._server = server;
    server.listen(parseAddress(this._listen));
    await once(server, "listening");
  }

  /** Stops listening and resets all connections. */
  async stop(): Promise<void> {
    await this._stopListening();
    this.cutAll();
  }

  /**
   * Changes the faults; bytes that they no longer hold back are forwarded immediately.
   * @param change - Faults to change.
   */
  async setFaults(change: ProxyFaultsChange): Promise<void> {
    this._faults = { ...this._faults, ...change };
    if (change.seed !== undefined) {
      this._random = new SeededRandom(change.seed);
    }
    if (this._faults.newConnections === "refuse") {
      await this._stopListening();
    } else {
      await this.start();
    }
    this._links.forEach((link) => {
      link.up.pump();
      link.down.pump();
    });
  }

  /** Clears all faults. */
  async clearFaults(): Promise<void> {
    await this.setFaults(NO_PROXY_FAULTS);
  }

  /** Resets all connections. */
  cutAll(): void {
    [...this._links].forEach((link) => {
      link.cut();
    });
  }

  private async _stopListening(): Promise<void> {
    const server = this._server;
    if (server === undefined) {
      return;
    }
    this._server = undefined;
    // Open connections stay open, and the event "close" would wait for them.
    server.close();
    await new Promise<void>((resolve) => setImmediate(resolve));
  }

  private _accept(caller: Socket): void {
    this._connections += 1;
    if (this._faults.newConnections === "reset") {
      caller.resetAndDestroy();
      return;
    }
    const target = connect({ ...parseAddress(this._target), allowHalfOpen: true, noDelay: true });
    this._connect(caller, target);
  }

  private _connect(caller: Socket, target: Socket): void {
    const cut = (): void => {
      this._cut += this._links.has(link) ? 1 : 0;
      caller.resetAndDestroy();
      target.resetAndDestroy();
    };
    const shared = {
      clock: this._clock,
      getFaults: () => this._faults,
      mayCut: this._random.next() < this._faults.cutShare,
      cut,
    };
    const link: Link = {
      up: new ProxyPipe({ ...shared, direction: "up", source: caller, target }),
      down: new ProxyPipe({ ...shared, direction: "down", source: target, target: caller }),
      cut,
    };
    this._links.add(link);
    this._linkSockets(caller, target, link);
  }

  private _linkSockets(caller: Socket, target: Socket, link: Link): void {
    const open = new Set([caller, target]);
    open.forEach((socket) => {
      // Errors are handled in the event "close", which follows each of them.
      socket.on("error", () => undefined);
      socket.on("close", (hadError) => {
        open.delete(socket);
        if (hadError) {
          [...open].forEach((other) => other.resetAndDestroy());
        }
        if (open.size === 0) {
          this._removeLink(link);
        }
      });
    });
  }

  private _removeLink(link: Link): void {
    if (this._links.delete(link)) {
      this._endedUpBytes += link.up.forwardedBytes;
      this._endedDownBytes += link.down.forwardedBytes;
    }
  }
}
