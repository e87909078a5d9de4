/**
 * Operators' routes for the configuration: current and earlier documents, their history, changes and
 * their outcomes, and the processes at which a revision is in force.
 */
import { z } from "zod";
import { computeCoverage, type ProcessRevision } from "../../coordination/config/coverage.ts";
import type { ActiveConfig } from "../../coordination/config/ActiveConfig.ts";
import { getDifferences } from "../../coordination/config/documentKeys.ts";
import { findChangeOutcome, getDocumentAt } from "../../coordination/config/history.ts";
import {
  changeIdSchema,
  configChangeSchema,
  type ChangeOutcome,
  type ChangeRefusalReason,
} from "../../protocol/config/ConfigChange.ts";
import type { ConfigDocument } from "../../protocol/config/ConfigDocument.ts";
import type { StoredConfig } from "../../protocol/config/StoredConfig.ts";
import { getHttpStatus, type Refusal, type RefusalCode } from "../../protocol/Refusal.ts";
import type { ApiReply, ApiRequest, ApiRoute } from "../http/ApiRoute.ts";
import type { ConfigWriter } from "./ConfigWriter.ts";

const DEFAULT_TIMEOUT_MS = 3000;
const MAX_TIMEOUT_MS = 30_000;
const RETRY_AFTER_SECONDS = 2;

const STATUS_BY_REASON: Readonly<Record<ChangeRefusalReason, number>> = {
  conflict: 409,
  "base-too-old": 409,
  "unknown-base": 409,
  "bad-document": 422,
  "too-large": 413,
  barred: 409,
  "store-unavailable": 503,
};

/** Dependencies of `ConfigRoutes`. */
export interface ConfigRoutesDependencies {
  readonly activeConfig: ActiveConfig;
  readonly writer: ConfigWriter;
  /** Returns the revisions that the live processes reported, including this one. */
  readonly getProcesses: () => readonly ProcessRevision[];
}

/** Routes of the configuration. */
export class ConfigRoutes {
  private readonly _deps: ConfigRoutesDependencies;

  /**
   * Creates the routes.
   * @param deps - Dependencies of the routes.
   */
  constructor(deps: ConfigRoutesDependencies) {
    this._deps = deps;
  }

  /** Gets the routes. */
  getRoutes(): readonly ApiRoute[] {
    return [
      { method: "GET", path: "/v1/config", handle: (req) => this._getConfig(req) },
      { method: "GET", path: "/v1/config/history", handle: (req) => this._getHistory(req) },
      { method: "GET", path: "/v1/config/differences", handle: (req) => this._getDiff(req) },
      { method: "GET", path: "/v1/config/coverage", handle: (req) => this._getCoverage(req) },
      { method: "POST", path: "/v1/config/changes", handle: (req) => this._postChange(req) },
      { method: "GET", path: "/v1/config/changes/:id", handle: (req) => this._getChange(req) },
      {
        method: "POST",
        path: "/v1/config/changes/:id/settle",
        handle: (req) => this._postSettle(req),
      },
    ];
  }

  private async _getConfig(req: ApiRequest): Promise<ApiReply> {
    const snapshot = this._deps.activeConfig.getSnapshot();
    if (snapshot === undefined) {
      return createRefusal("no-configuration", "this process has no configuration yet");
    }
    const revision = getNumber(req, "revision");
    if (revision === undefined || revision === snapshot.revision) {
      return { status: 200, body: snapshot };
    }
    return this._withStored(req, (stored) =>
      withDocument(stored, revision, (document) => ({ status: 200, body: { revision, document } })),
    );
  }

  private async _getHistory(req: ApiRequest): Promise<ApiReply> {
    return this._withStored(req, ({ revision, horizon, history }) => ({
      status: 200,
      body: { revision, horizon, history },
    }));
  }

  private async _getDiff(req: ApiRequest): Promise<ApiReply> {
    const from = getNumber(req, "from");
    const to = getNumber(req, "to");
    if (from === undefined || to === undefined) {
      return createRefusal("bad-request", "from and to must be revisions");
    }
    return this._withStored(req, (stored) =>
      withDocument(stored, from, (before) =>
        withDocument(stored, to, (after) => ({
          status: 200,
          body: { from, to, differences: getDifferences(before, after) },
        })),
      ),
    );
  }

  private _getCoverage(req: ApiRequest): Promise<ApiReply> {
    const revision = getNumber(req, "revision") ?? this._deps.activeConfig.getRevision() ?? 0;
    const body = computeCoverage(this._deps.getProcesses(), revision);
    return Promise.resolve({ status: 200, body });
  }

  private async _postChange(req: ApiRequest): Promise<ApiReply> {
    const change = configChangeSchema.safeParse(req.body);
    if (!change.success) {
      return createRefusal("bad-request", z.prettifyError(change.error));
    }
    return toOutcomeReply(await this._deps.writer.submit(change.data, getTimeoutMs(req)));
  }

  private async _getChange(req: ApiRequest): Promise<ApiReply> {
    const changeId = changeIdSchema.safeParse(req.params.id);
    if (!changeId.success) {
      return createRefusal("bad-request", z.prettifyError(changeId.error));
    }
    return this._withStored(req, (stored) => ({
      status: 200,
      body: findChangeOutcome(stored, changeId.data, getNumber(req, "since") ?? 0),
    }));
  }

  private async _postSettle(req: ApiRequest): Promise<ApiReply> {
    const changeId = changeIdSchema.safeParse(req.params.id);
    if (!changeId.success) {
      return createRefusal("bad-request", z.prettifyError(changeId.error));
    }
    const since = getNumber(req, "since") ?? 0;
    const { writer } = this._deps;
    return toOutcomeReply(await writer.settle(changeId.data, since, getTimeoutMs(req)));
  }

  private async _withStored(
    req: ApiRequest,
    reply: (stored: StoredConfig) => ApiReply,
  ): Promise<ApiReply> {
    const stored = await this._deps.writer.read(getTimeoutMs(req));
    return typeof stored === "string" ? createRefusal("store-unavailable", stored) : reply(stored);
  }
}

function withDocument(
  stored: StoredConfig,
  revision: number,
  reply: (document: ConfigDocument) => ApiReply,
): ApiReply {
  const document = getDocumentAt(stored, revision);
  const known = `revisions ${stored.horizon} to ${stored.revision} are known, not ${revision}`;
  return document === undefined ? createRefusal("not-found", known) : reply(document);
}

function getNumber(req: ApiRequest, name: string): number | undefined {
  const text = req.query[name];
  return text !== undefined && /^\d{1,15}$/.test(text) ? Number(text) : undefined;
}

function getTimeoutMs(req: ApiRequest): number {
  return Math.min(MAX_TIMEOUT_MS, getNumber(req, "timeout-ms") ?? DEFAULT_TIMEOUT_MS);
}

function createRefusal(code: RefusalCode, detail: string): ApiReply {
  const body: Refusal = { code, verdict: "not-run", detail };
  const status = getHttpStatus(code);
  return status === 503
    ? { status, body, retryAfterSeconds: RETRY_AFTER_SECONDS }
    : { status, body };
}

function toOutcomeReply(outcome: ChangeOutcome): ApiReply {
  if (outcome.kind === "accepted") {
    return { status: 200, body: outcome };
  }
  if (outcome.kind === "unknown") {
    return { status: 504, body: outcome };
  }
  const status = STATUS_BY_REASON[outcome.reason];
  return status === 503
    ? { status, body: outcome, retryAfterSeconds: RETRY_AFTER_SECONDS }
    : { status, body: outcome };
}
