/**
 * Loopback API with which the backend servers of the VM announce themselves.
 */
import type { AgentAdmission } from "../../coordination/requests/AgentAdmission.ts";
import type { Clock, Timer } from "../../protocol/platform/Clock.ts";
import type { Log } from "../../protocol/platform/Log.ts";
import {
  serverAnnouncementSchema,
  type ServerAnnouncement,
} from "../../protocol/ServerAnnouncement.ts";
import type { ApiReply, ApiRequest, ApiRoute } from "../http/ApiRoute.ts";
import type { TaskService } from "./tasks/TaskService.ts";

/** Dependencies of the routes. */
export interface AnnouncementRoutesDependencies {
  readonly clock: Clock;
  readonly log: Log;
  readonly admission: AgentAdmission;
  readonly tasks: TaskService;
  /** Time without an announcement after which a backend server is removed, in milliseconds. */
  readonly expiryMs: number;
  /** Called on each change, so that the entries learn of it at once. */
  readonly onChange: () => void;
}

/** Routes for the announcements of the backend servers on one VM. */
export class AnnouncementRoutes {
  private readonly _deps: AnnouncementRoutesDependencies;
  private _timer: Timer | undefined;

  /**
   * Creates the routes and starts to remove backend servers that stop announcing themselves.
   * @param deps - Dependencies of the routes.
   */
  constructor(deps: AnnouncementRoutesDependencies) {
    this._deps = deps;
    this._scheduleExpiry();
  }

  /** Gets the routes. */
  getRoutes(): readonly ApiRoute[] {
    return [
      {
        method: "PUT",
        path: "/v1/servers/:id",
        handle: (req) => Promise.resolve(this._handleAnnouncement(req)),
      },
    ];
  }

  /** Stops removing backend servers. */
  stop(): void {
    this._timer?.cancel();
    this._timer = undefined;
  }

  private _handleAnnouncement(req: ApiRequest): ApiReply {
    const parsed = serverAnnouncementSchema.safeParse(req.body);
    if (!parsed.success || parsed.data.id !== req.params.id) {
      const detail = parsed.success
        ? "id: differs from the id in the path"
        : (parsed.error.issues[0]?.message ?? "the body is not a valid announcement");
      return { status: 422, body: { code: "bad-document", detail } };
    }
    this._apply(parsed.data);
    return { status: 200, body: { announced: true } };
  }

  private _apply(announcement: ServerAnnouncement): void {
    const { admission, tasks, log, onChange } = this._deps;
    const changed = admission.handleAnnouncement(announcement);
    tasks.reserveServer(announcement.id, announcement.service, {
      processorsMilli: announcement.processorsMilli,
      memoryBytes: announcement.memoryBytes,
      accelerators: 0,
    });
    if (changed) {
      const { id, service, draining } = announcement;
      log.info("The announcement of a backend server has changed.", { id, service, draining });
      onChange();
    }
  }

  private _scheduleExpiry(): void {
    const { clock, expiryMs, admission, tasks, log, onChange } = this._deps;
    this._timer = clock.after(expiryMs / 2, () => {
      const expired = admission.expireServers(expiryMs);
      expired.forEach((id) => {
        tasks.releaseServer(id);
        log.info("A backend server was removed because it stopped announcing itself.", { id });
      });
      if (expired.length > 0) {
        onChange();
      }
      this._scheduleExpiry();
    });
  }
}
