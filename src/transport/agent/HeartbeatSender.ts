/**
 * Sends the agent's heartbeats to a few entries. Their replies carry the revision of the
 * configuration, the addresses of live entries and the owners of partitions.
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

/** Dependencies of the sender. */
export interface HeartbeatSenderDependencies {
  readonly clock: Clock;
  readonly log: Log;
  readonly targets: ReportTargets;
  readonly clients: EntryClients;
  readonly intervalMs: number;
  /** Creates the heartbeat with a sequence number. */
  readonly createHeartbeat: (sequence: bigint) => HeartbeatRequest;
  /** Called before a heartbeat is sent, with its sequence number. */
  readonly onSend: (sequence: number) => void;
  /** Called with each reply and the entry that sent it. */
  readonly onReply: (reply: HeartbeatReply, entry: string) => void;
}

/** Sender of the heartbeats of one agent. */
export class HeartbeatSender {
  private readonly _deps: HeartbeatSenderDependencies;
  private _sequence = 0;
  private _timer: Timer | undefined;
  private _isStopped = false;

  /**
   * Creates the sender without starting it.
   * @param deps - Dependencies of the sender.
   */
  constructor(deps: HeartbeatSenderDependencies) {
    this._deps = deps;
  }

  /** Starts to send heartbeats at regular intervals. */
  start(): void {
    void this._sendPeriodically();
  }

  /** Stops sending heartbeats. */
  stop(): void {
    this._isStopped = true;
    this._timer?.cancel();
  }

  /** Sends a heartbeat at once, in addition to the regular ones. */
  async sendNow(): Promise<void> {
    const { clock, targets, createHeartbeat, onSend } = this._deps;
    this._sequence += 1;
    onSend(this._sequence);
    const heartbeat = createHeartbeat(BigInt(this._sequence));
    await Promise.all(targets.getTargets(clock.now()).map((entry) => this._send(entry, heartbeat)));
  }

  private async _sendPeriodically(): Promise<void> {
    const { clock, intervalMs } = this._deps;
    this._timer = clock.after(intervalMs, () => {
      if (!this._isStopped) {
        void this._sendPeriodically();
      }
    });
    await this.sendNow();
  }

  private async _send(entry: string, heartbeat: HeartbeatRequest): Promise<void> {
    const { clock, clients, targets, intervalMs, log, onReply } = this._deps;
    try {
      const timeoutMs = Math.max(MIN_TIMEOUT_MS, intervalMs);
      const reply = await clients.getClient(entry).heartbeat(heartbeat, { timeoutMs });
      targets.recordSuccess(entry);
      targets.updateKnown(reply.entryAddresses);
      onReply(reply, entry);
    } catch (err) {
      targets.recordFailure(entry, clock.now());
      log.debug("A heartbeat to an entry failed.", { entry, reason: String(err) });
    }
  }
}
