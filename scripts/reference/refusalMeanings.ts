/**
 * Meanings of the refusal codes, for callers and operators.
 */
import type { RefusalCode } from "../../src/protocol/Refusal.ts";

/** Meanings by code. */
export const REFUSAL_MEANINGS: Readonly<Record<RefusalCode, string>> = {
  "unknown-service": "the request names no service, or no profile is assigned to the service",
  "bad-request": "the request is malformed or lacks a required field",
  "body-too-large": "the body exceeds the configured limit",
  "header-too-large": "the header exceeds the configured limit",
  "no-configuration": "the process has no configuration yet",
  "no-server": "no backend server of the service is known",
  overloaded: "the queue is full or the deadline cannot be met",
  "deadline-exceeded": "the timeout expired before a response arrived",
  draining: "the process or VM is shutting down",
  "wrong-incarnation": "the request was addressed to an earlier incarnation of the agent",
  "duplicate-request": "a request with this id was already accepted",
  "agent-not-ready": "the agent does not yet know the tasks on its VM",
  "upstream-failed": "the backend server closed or refused the connection",
  "upstream-truncated": "the response of the backend server ended early",
  "store-unavailable": "the platform's store is unreachable",
  "no-owner": "the job's partition currently has no owner",
  conflict: "a later change has set the same values",
  "outcome-unknown": "the write may or may not have taken effect",
  "not-found": "no object of this name is known to the process",
  "bad-document": "the configuration document is invalid",
  "method-not-allowed": "the path does not support this method",
  "request-timeout": "the request did not arrive completely in time",
  "internal-error": "an internal error of the process; its log has the details",
};
