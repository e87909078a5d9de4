/**
 * Names of the HTTP headers of requests and responses between callers, entries, agents and
 * backend servers.
 */

/** Header names, in lower case as Node reports them. */
export const RequestHeaders = {
  /** Service that the caller requests; without it the first label of the host name is used. */
  service: "fireflylb-service",
  /** Tenant on whose behalf the caller sends the request. */
  tenant: "fireflylb-tenant",
  /** Class of the request: urgent, normal or background. */
  requestClass: "fireflylb-class",
  /** Timeout that the caller sets, in milliseconds. */
  timeoutMs: "fireflylb-timeout-ms",
  /** "true" where the caller declares a request idempotent whatever its method. */
  idempotent: "fireflylb-idempotent",
  /** Identity of the request; unique for each request of a caller. */
  requestId: "fireflylb-request-id",
  /** Number of the attempt, from 1. */
  attempt: "fireflylb-attempt",
  /** Time left until the deadline when the entry sent the request, in milliseconds. */
  budgetMs: "fireflylb-budget-ms",
  /** Incarnation of the agent that the request is addressed to. */
  incarnation: "fireflylb-incarnation",
  /** Identity of the process that forwarded the request. */
  sender: "fireflylb-sender",
  /** Sender's monotonic time when it sent the request, in milliseconds. */
  sentAt: "fireflylb-sent-at",
  /** Verdict of the outcome: not-run, may-have-run or ran. */
  verdict: "fireflylb-verdict",
  /** Code of a refusal. */
  refusal: "fireflylb-refusal",
  /** Id of the backend server that responded. */
  server: "fireflylb-server",
  /** Load of the backend server after the response: slots in use and queue length. */
  load: "fireflylb-load",
} as const;
