/**
 * Forwards requests for jobs to the entry that owns their partition.
 */
import { request } from "undici";
import { getHttpStatus, type Refusal } from "../../../protocol/Refusal.ts";
import type { ApiReply, ApiRequest, ApiRoute } from "../../http/ApiRoute.ts";
import { isUnsent } from "../../http/isUnsent.ts";

const TIMEOUT_MS = 5_000;
/** Query parameter of a forwarded request, which is not forwarded again. */
const FORWARDED = "forwarded";

/** Destination of a forwarded request. */
export interface ForwardTarget {
  readonly method: ApiRoute["method"];
  readonly path: string;
  /** API address of the owner as host:port. */
  readonly api: string;
}

/**
 * Returns whether another entry forwarded a request.
 * @param req - The request.
 */
export function isForwarded(req: ApiRequest): boolean {
  return FORWARDED in req.query;
}

/**
 * Creates the reply for a refusal.
 * @param refusal - The refusal.
 */
export function toReply(refusal: Refusal): ApiReply {
  const { code, verdict, detail, retryAfterSeconds } = refusal;
  const reply = { status: getHttpStatus(code), body: { code, verdict, detail } };
  return retryAfterSeconds === undefined ? reply : { ...reply, retryAfterSeconds };
}

/**
 * Forwards a request.
 * @param req - The request.
 * @param target - Destination of the request.
 */
export async function forward(req: ApiRequest, target: ForwardTarget): Promise<ApiReply> {
  const query = new URLSearchParams({ ...req.query, [FORWARDED]: "1" });
  const url = `http://${target.api}${target.path}?${query.toString()}`;
  try {
    const res = await request(url, {
      method: target.method,
      headersTimeout: TIMEOUT_MS,
      bodyTimeout: TIMEOUT_MS,
      ...(req.body === undefined
        ? {}
        : { body: JSON.stringify(req.body), headers: { "content-type": "application/json" } }),
    });
    const body: unknown = await res.body.json();
    const retryAfter = Number(res.headers["retry-after"]);
    const reply = { status: res.statusCode, body };
    return Number.isFinite(retryAfter) ? { ...reply, retryAfterSeconds: retryAfter } : reply;
  } catch (err) {
    return toReply(getRefusal(err, target));
  }
}

function getRefusal(err: unknown, target: ForwardTarget): Refusal {
  if (isUnsent(err) || target.method === "GET") {
    const detail = "the owner of the job's partition cannot be reached";
    return { code: "no-owner", verdict: "not-run", detail, retryAfterSeconds: 1 };
  }
  return {
    code: "outcome-unknown",
    verdict: "may-have-run",
    detail:
      "the owner of the job's partition did not respond; repeat the request with the same key",
    retryAfterSeconds: 1,
  };
}
