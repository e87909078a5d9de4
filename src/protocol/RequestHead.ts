/**
 * Metadata that an agent reads from the headers of a request that an entry forwards.
 */
import type { IncomingHttpHeaders } from "node:http";
import { RequestHeaders } from "./RequestHeaders.ts";

/** Class of a request without a class header. */
export const DEFAULT_CLASS = "normal";
/** Tenant of a request without a tenant header. */
export const DEFAULT_TENANT = "default";

/** Metadata of a request that an entry forwards to an agent. */
export interface RequestHead {
  readonly request: string;
  readonly attempt: number;
  readonly service: string;
  readonly tenant: string;
  readonly requestClass: string;
  /** Time left until the deadline when the entry sent the request, in milliseconds. */
  readonly budgetMs: number;
  /** Incarnation of the agent that the request is addressed to. */
  readonly incarnation: string;
  /** Identity of the sending process. */
  readonly sender: string;
  /** Sender's monotonic time when it sent the request, in milliseconds. */
  readonly sentAt: number;
}

/**
 * Parses the metadata of a request.
 * @param headers - Headers as received.
 * @returns The metadata, or undefined where a header is missing or malformed.
 */
export function parseRequestHead(headers: IncomingHttpHeaders): RequestHead | undefined {
  const request = getHeader(headers, RequestHeaders.requestId);
  const service = getHeader(headers, RequestHeaders.service);
  const incarnation = getHeader(headers, RequestHeaders.incarnation);
  const sender = getHeader(headers, RequestHeaders.sender);
  const attempt = Number(getHeader(headers, RequestHeaders.attempt));
  const budgetMs = Number(getHeader(headers, RequestHeaders.budgetMs));
  const sentAt = Number(getHeader(headers, RequestHeaders.sentAt));
  if (
    request === undefined ||
    service === undefined ||
    incarnation === undefined ||
    sender === undefined ||
    ![attempt, budgetMs, sentAt].every(Number.isFinite)
  ) {
    return undefined;
  }
  return {
    request,
    attempt,
    service,
    tenant: getHeader(headers, RequestHeaders.tenant) ?? DEFAULT_TENANT,
    requestClass: getHeader(headers, RequestHeaders.requestClass) ?? DEFAULT_CLASS,
    budgetMs,
    incarnation,
    sender,
    sentAt,
  };
}

/**
 * Gets a header that occurs exactly once; undefined for others.
 * @param headers - Headers as received.
 * @param name - Lower-case name.
 */
export function getHeader(headers: IncomingHttpHeaders, name: string): string | undefined {
  const value = headers[name];
  return typeof value === "string" ? value : undefined;
}
