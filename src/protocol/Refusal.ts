/**
 * Stable codes of refusals and failures that callers, operators and other processes receive, each
 * with its HTTP status.
 */
import type { Verdict } from "./Verdict.ts";

/** Stable code of a refusal. */
export type RefusalCode =
  | "unknown-service"
  | "bad-request"
  | "body-too-large"
  | "header-too-large"
  | "no-configuration"
  | "no-server"
  | "overloaded"
  | "deadline-exceeded"
  | "draining"
  | "wrong-incarnation"
  | "duplicate-request"
  | "agent-not-ready"
  | "upstream-failed"
  | "upstream-truncated"
  | "store-unavailable"
  | "no-owner"
  | "conflict"
  | "outcome-unknown"
  | "not-found"
  | "bad-document"
  | "method-not-allowed"
  | "request-timeout"
  | "internal-error";

const STATUS_BY_CODE: Readonly<Record<RefusalCode, number>> = {
  "unknown-service": 404,
  "bad-request": 400,
  "body-too-large": 413,
  "header-too-large": 431,
  "no-configuration": 503,
  "no-server": 503,
  overloaded: 503,
  "deadline-exceeded": 504,
  draining: 503,
  "wrong-incarnation": 503,
  "duplicate-request": 409,
  "agent-not-ready": 503,
  "upstream-failed": 502,
  "upstream-truncated": 502,
  "store-unavailable": 503,
  "no-owner": 503,
  conflict: 409,
  "outcome-unknown": 504,
  "not-found": 404,
  "bad-document": 422,
  "method-not-allowed": 405,
  "request-timeout": 408,
  "internal-error": 500,
};

/** A refusal or failure as reported to the caller. */
export interface Refusal {
  readonly code: RefusalCode;
  readonly verdict: Verdict;
  readonly detail: string;
  /** Delay before a retry, in seconds; absent where a retry does not help. */
  readonly retryAfterSeconds?: number;
}

/**
 * Gets the HTTP status of a refusal.
 * @param code - Code of the refusal.
 */
export function getHttpStatus(code: RefusalCode): number {
  return STATUS_BY_CODE[code];
}

/**
 * Parses a refusal code.
 * @param text - Text as received.
 * @returns The code, or undefined for unknown text.
 */
export function parseRefusalCode(text: string | undefined): RefusalCode | undefined {
  return text !== undefined && text in STATUS_BY_CODE ? (text as RefusalCode) : undefined;
}
