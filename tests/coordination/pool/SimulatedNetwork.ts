/**
 * Delays of the calls in a simulated pool. Each kind of message has a usual delay, and a test can
 * raise it for a while, so that messages overtake each other or outlast the timeout of their call.
 */
import type { Clock } from "../../../src/protocol/platform/Clock.ts";
import type { RandomSource } from "../../../src/protocol/platform/RandomSource.ts";

/** Kind of a message. */
export type MessageKind =
  | "observe"
  | "observe-reply"
  | "order"
  | "order-reply"
  | "list"
  | "list-reply"
  | "run-order"
  | "run-order-reply"
  | "heartbeat"
  | "store"
  | "store-reply";

/** Time in which messages of a kind take longer. */
export interface DelayWindow {
  readonly kind: MessageKind;
  /** Agent or entry that the messages come from or go to; empty for all. */
  readonly party: string;
  readonly from: number;
  readonly until: number;
  readonly minMs: number;
  readonly maxMs: number;
}

/** Delays of messages. */
export class SimulatedNetwork {
  /** Windows in which messages take longer. */
  readonly windows: DelayWindow[] = [];
  /** Usual delay of a message, in milliseconds. */
  usualMs = 1;
  /** Whether calls in progress fail when the process of their agent ends; else they time out. */
  resetsConnections = true;
  /** Whether messages of one direction between an entry and an agent keep their order. */
  keepsOrder = false;
  private readonly _clock: Clock;
  private readonly _random: RandomSource;
  private readonly _lastAt = new Map<string, number>();

  /**
   * Creates a network without delay windows.
   * @param clock - Clock of the delays.
   * @param random - Source of the delays.
   */
  constructor(clock: Clock, random: RandomSource) {
    this._clock = clock;
    this._random = random;
  }

  /**
   * Resolves when a message arrives.
   * @param kind - Its kind.
   * @param parties - Agent and entry that it concerns.
   * @param stream - Stream in which messages keep their order if the network does; empty for none.
   */
  async transfer(kind: MessageKind, parties: readonly string[], stream = ""): Promise<void> {
    const now = this._clock.now();
    const delayMs = this.windows
      .filter((window) => window.kind === kind && window.from <= now && now < window.until)
      .filter(({ party }) => party === "" || parties.includes(party))
      .map(({ minMs, maxMs }) => minMs + this._random.next() * (maxMs - minMs))
      .reduce((a, b) => Math.max(a, b), this.usualMs);
    const arrivesAt =
      this.keepsOrder && stream !== ""
        ? Math.max(now + delayMs, this._lastAt.get(stream) ?? 0)
        : now + delayMs;
    this._lastAt.set(stream, arrivesAt);
    await this._clock.sleep(arrivesAt - now);
  }

  /**
   * Forgets the messages under way in a stream, as a new connection does not wait for them.
   * @param stream - Start of the names of the streams.
   */
  reset(stream: string): void {
    [...this._lastAt.keys()]
      .filter((name) => name.startsWith(stream))
      .forEach((name) => this._lastAt.delete(name));
  }
}
