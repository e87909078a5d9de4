/**
 * Meaning of each refusal code to callers and operators.
 */
import type { RefusalCode } from "../../src/protocol/Refusal.ts";

/** Meanings by code. */
export const REFUSAL_MEANINGS: Readonly<Record<RefusalCode, string>> = {
  "unknown-service": "no profile is assigned to the service, or the request names none",
  "bad-request": "the request is broken or lacks what it needs",
  "body-too-large": "the body exceeds the limit of the settings",
  "header-too-large": "the header exceeds the limit of the settings",
  "no-configuration": "the process has no configuration yet",
  "no-server": "no backend server of the service is known",
  overloaded: "the queue is full or the deadline could not be met",
  "deadline-exceeded": "the timeout passed before an answer came",
  draining: "the process or VM is shutting down",
  "wrong-incarnation": "the request was meant for an earlier run of the agent",
  "duplicate-request": "a request of this id was taken already",
  "agent-not-ready": "the agent does not know yet what its VM runs",
  "upstream-failed": "the backend server closed or refused the connection",
  "upstream-truncated": "the backend server's answer ended early",
  "store-unavailable": "the platform's store cannot be reached",
  "no-owner": "the job's partition has no owner at the moment",
  conflict: "another change has set the same values since",
  "outcome-unknown": "the write may or may not have taken effect",
  "not-found": "nothing of this name is known here",
  "bad-document": "the configuration document has a fault",
  "method-not-allowed": "the path does not take this method",
  "request-timeout": "the request did not arrive whole in time",
  "internal-error": "a fault inside the process; its log says more",
};
