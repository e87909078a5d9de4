/**
 * Parses the headers of a caller's request that routing depends on.
 */
import type { IncomingMessage } from "node:http";
import { err, ok, type Result } from "neverthrow";
import type { Refusal } from "../../../protocol/Refusal.ts";
import { DEFAULT_CLASS, DEFAULT_TENANT, getHeader } from "../../../protocol/RequestHead.ts";
import { RequestHeaders } from "../../../protocol/RequestHeaders.ts";

/** Methods that are idempotent by the HTTP specification. */
const IDEMPOTENT_METHODS: ReadonlySet<string> = new Set([
  "GET",
  "HEAD",
  "PUT",
  "DELETE",
  "OPTIONS",
]);
const NAME_PATTERN = /^[a-z0-9][a-z0-9._-]{0,62}$/;

/** Properties of a caller's request that routing depends on. */
export interface CallerRequest {
  readonly service: string;
  readonly tenant: string;
  readonly requestClass: string;
  readonly idempotent: boolean;
  readonly timeoutMs: number;
  readonly method: string;
}

/** Default and maximum of a caller's timeout. */
export interface TimeoutBounds {
  readonly defaultMs: number;
  readonly maxMs: number;
}

/**
 * Parses a caller's request.
 * @param req - The request.
 * @param timeouts - Bounds on its timeout.
 */
export function readCallerRequest(
  req: IncomingMessage,
  timeouts: TimeoutBounds,
): Result<CallerRequest, Refusal> {
  const { headers } = req;
  const method = req.method ?? "GET";
  const service = getHeader(headers, RequestHeaders.service) ?? getHostLabel(headers.host);
  const tenant = getHeader(headers, RequestHeaders.tenant) ?? DEFAULT_TENANT;
  const requestClass = getHeader(headers, RequestHeaders.requestClass) ?? DEFAULT_CLASS;
  const timeoutMs = Number(getHeader(headers, RequestHeaders.timeoutMs) ?? timeouts.defaultMs);
  const badName = Object.entries({ service, tenant, class: requestClass }).find(
    ([, value]) => !NAME_PATTERN.test(value),
  );
  if (badName !== undefined) {
    return err(
      badRequest(
        `fireflylb-${badName[0]}: expected a name of 1 to 63 characters of a-z, 0-9, . _ -`,
      ),
    );
  }
  if (!(timeoutMs >= 1 && timeoutMs <= timeouts.maxMs)) {
    return err(badRequest(`${RequestHeaders.timeoutMs}: expected 1 to ${timeouts.maxMs}`));
  }
  const declared = getHeader(headers, RequestHeaders.idempotent) === "true";
  const idempotent = declared || IDEMPOTENT_METHODS.has(method);
  return ok({ service, tenant, requestClass, idempotent, timeoutMs, method });
}

function getHostLabel(host: string | undefined): string {
  return (host ?? "").split(/[.:]/)[0]?.toLowerCase() ?? "";
}

function badRequest(detail: string): Refusal {
  return { code: "bad-request", verdict: "not-run", detail };
}
