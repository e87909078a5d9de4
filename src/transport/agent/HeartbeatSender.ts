/**
 * Sends the agent's heartbeats to a few entries and takes in what their replies carry: the revision
 * of the configuration, the live entries and the owners of partitions.
 */
import type { ReportTargets } from "../../coordination/ReportTargets.ts";
import type {
  HeartbeatReply,
  HeartbeatRequest,
} from "../../protocol/generated/fireflylb/v1/control_pb.ts";
import type { Clock, Timer } from "../../protocol/platform/Clock.ts";
import type { Log } from "../../protocol/platform/Log.ts";
import type { EntryClients } from "../control/EntryClients.ts";

const MIN_TIMEOUT_MS = 1_000;

/** What the sender works with. */
export interface HeartbeatSenderParts {
  readonly clock: Clock;
  readonly log: Log;
  readonly targets: ReportTargets;
  readonly clients: EntryClients;
  readonly intervalMs: number;
  /** Makes the heartbeat with a sequence number. */
  readonly createHeartbeat: (sequence: bigint) => HeartbeatRequest;
  /** Called before a heartbeat leaves, with its sequence number. */
  readonly onSend: (sequence: number) => void;
  /** Called with each reply and the entry that sent it. */
  readonly onReply: (reply: HeartbeatReply, entry: string) => void;
}

/** Heartbeats of one agent. */
export class HeartbeatSender {
  private readonly _parts: HeartbeatSenderParts;
  private _sequence = 0;
  private _timer: Timer | undefined;
  private _stopped = false;

  /**
   * Creates the sender; it sends nothing yet.
   * @param parts - What it works with.
   */
  constructor(parts: HeartbeatSenderParts) {
    this._parts = parts;
  }

  /** Sends heartbeats until stopped. */
  start(): void {
    void this._tick();
  }

  /** Sends no more heartbeats. */
  stop(): void {
    this._stopped = true;
    this._timer?.cancel();
  }

  /** Sends a heartbeat now, without waiting for the next one to be due. */
  async sendNow(): Promise<void> {
    const { clock, targets, createHeartbeat, onSend } = this._parts;
    this._sequence += 1;
    onSend(this._sequence);
    const heartbeat = createHeartbeat(BigInt(this._sequence));
    await Promise.all(targets.getTargets(clock.now()).map((entry) => this._send(entry, heartbeat)));
  }

  private async _tick(): Promise<void> {
    const { clock, intervalMs } = this._parts;
    this._timer = clock.after(intervalMs, () => {
      if (!this._stopped) {
        void this._tick();
      }
    });
    await this.sendNow();
  }

  private async _send(entry: string, heartbeat: HeartbeatRequest): Promise<void> {
    const { clock, clients, targets, intervalMs, log, onReply } = this._parts;
    try {
      const timeoutMs = Math.max(MIN_TIMEOUT_MS, intervalMs);
      const reply = await clients.getClient(entry).heartbeat(heartbeat, { timeoutMs });
      targets.noteSuccess(entry);
      targets.noteKnown(reply.entryAddresses);
      onReply(reply, entry);
    } catch (err) {
      targets.noteFailure(entry, clock.now());
      log.debug("An entry did not answer a heartbeat.", { entry, reason: String(err) });
    }
  }
}
