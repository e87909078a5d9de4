/**
 * Plans of random histories: a plan is a list of events that is drawn from a seed and can be shortened
 * without changing the other events.
 */
import { SeededRandom } from "../../support/SeededRandom.ts";
import type { MessageKind } from "./SimulatedNetwork.ts";

/** Kind of an event. */
export type EventKind =
  | "submit"
  | "killEntry"
  | "revoke"
  | "resign"
  | "freezeEntry"
  | "cutStore"
  | "cutEntry"
  | "restartAgent"
  | "killBoth"
  | "crashWorker"
  | "crashOther"
  | "crashBack"
  | "crashAgentAndWorker"
  | "drain"
  | "overlap"
  | "repeatHeartbeat"
  | "otherLater"
  | "otherEarlier"
  | "otherSame"
  | "silent"
  | "lateOrders"
  | "delay";

/** Event of a plan. */
export interface PlannedEvent {
  readonly at: number;
  readonly kind: EventKind;
  readonly agent: number;
  readonly entry: number;
  readonly ms: number;
  readonly messages: MessageKind;
  readonly number: number;
}

/** Plan of a history. */
export interface Plan {
  readonly seed: number;
  readonly agents: number;
  readonly resetsConnections: boolean;
  readonly keepsOrder: boolean;
  readonly events: readonly PlannedEvent[];
}

const MESSAGES: readonly MessageKind[] = [
  "observe",
  "observe-reply",
  "order",
  "order-reply",
  "list",
  "list-reply",
  "run-order",
  "run-order-reply",
  "heartbeat",
  "store",
  "store-reply",
];
const FIRST_MS = 1_600;
const SPAN_MS = 4_000;

/**
 * Draws a plan.
 * @param seed - Its seed.
 * @param kinds - Kinds of events to draw from.
 * @param messages - Messages that may be delayed.
 */
export function createPlan(
  seed: number,
  kinds: readonly EventKind[],
  messages: readonly MessageKind[] = MESSAGES,
): Plan {
  const random = new SeededRandom(seed);
  const count = 2 + random.nextInt(8);
  // Half of the plans have their events close together.
  const span = random.next() < 0.5 ? 600 : SPAN_MS;
  const start = FIRST_MS + random.nextInt(SPAN_MS - span + 1);
  const events = Array.from({ length: count }, (): PlannedEvent => {
    const isShort = random.next() < 0.6;
    return {
      at: start + random.nextInt(span),
      kind: choose(random, kinds),
      agent: random.nextInt(3),
      entry: random.nextInt(2),
      ms: isShort ? 5 + random.nextInt(200) : 200 + random.nextInt(3_000),
      messages: choose(random, messages),
      number: random.nextInt(1_000),
    };
  });
  const submits = [FIRST_MS + random.nextInt(400), start + random.nextInt(span)].map(
    (at, position): PlannedEvent => ({
      ...{ at, kind: "submit", agent: 0, entry: position % 2, ms: 1_500 + random.nextInt(5_000) },
      ...{ messages: "order", number: 2 + random.nextInt(7) },
    }),
  );
  return {
    seed,
    agents: 1 + random.nextInt(3),
    resetsConnections: random.next() < 0.7,
    keepsOrder: random.next() < 0.5,
    events: [...submits, ...events].toSorted((a, b) => a.at - b.at),
  };
}

function choose<T>(random: SeededRandom, items: readonly T[]): T {
  const item = items[random.nextInt(items.length)];
  if (item === undefined) {
    throw new Error("cannot choose from an empty list");
  }
  return item;
}
