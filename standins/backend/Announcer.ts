/**
 * Announces the backend stand-in to the agent of its VM, immediately and then every second.
 */
import { request } from "undici";
import type { Clock, Timer } from "../../src/protocol/platform/Clock.ts";
import type { ServerAnnouncement } from "../../src/protocol/ServerAnnouncement.ts";

const INTERVAL_MS = 1_000;

/** Periodic announcement of a backend server. */
export class Announcer {
  private readonly _clock: Clock;
  private readonly _agent: string;
  private readonly _createAnnouncement: () => ServerAnnouncement;
  private _timer: Timer | undefined;
  private _isSilent = false;

  /**
   * Creates an announcer that is not started.
   * @param clock - Clock of the interval.
   * @param agent - Local address of the agent, as "host:port".
   * @param createAnnouncement - Creates the current announcement.
   */
  constructor(clock: Clock, agent: string, createAnnouncement: () => ServerAnnouncement) {
    this._clock = clock;
    this._agent = agent;
    this._createAnnouncement = createAnnouncement;
  }

  /** Announces immediately and then every second; restarts the interval if it is running. */
  start(): void {
    this._timer?.cancel();
    this._timer = this._clock.after(INTERVAL_MS, () => {
      this.start();
    });
    void this._announce();
  }

  /** Stops the announcements. */
  stop(): void {
    this._timer?.cancel();
  }

  /**
   * Suppresses or resumes the announcements.
   * @param silent - Whether to suppress them.
   */
  setSilent(silent: boolean): void {
    this._isSilent = silent;
  }

  private async _announce(): Promise<void> {
    if (this._isSilent) {
      return;
    }
    const announcement = this._createAnnouncement();
    try {
      const { body } = await request(`http://${this._agent}/v1/servers/${announcement.id}`, {
        method: "PUT",
        headers: { "content-type": "application/json" },
        body: JSON.stringify(announcement),
        signal: AbortSignal.timeout(INTERVAL_MS),
      });
      await body.dump();
    } catch {
      // An agent that is unreachable receives a later announcement.
    }
  }
}
