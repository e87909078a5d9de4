/**
 * Names of the HTTP headers that requests and answers carry between callers, entries, agents and
 * backend servers.
 */

/** Header names, in lower case as Node reports them. */
export const RequestHeaders = {
  /** Service that the caller asks for; without it the first label of the host is taken. */
  service: "fireflylb-service",
  /** Tenant on whose behalf the caller asks. */
  tenant: "fireflylb-tenant",
  /** Class of the request: urgent, normal or background. */
  requestClass: "fireflylb-class",
  /** Time the caller allows, in milliseconds. */
  timeoutMs: "fireflylb-timeout-ms",
  /** "true" where the caller declares a request idempotent whatever its method. */
  idempotent: "fireflylb-idempotent",
  /** Identity of the request; unique for each request of a caller. */
  requestId: "fireflylb-request-id",
  /** Number of the attempt, from 1. */
  attempt: "fireflylb-attempt",
  /** Budget left when the entry sent the request, in milliseconds. */
  budgetMs: "fireflylb-budget-ms",
  /** Incarnation of the agent that the entry means. */
  incarnation: "fireflylb-incarnation",
  /** Identity of the process that sent the request on. */
  sender: "fireflylb-sender",
  /** Sender's monotonic time at sending, in milliseconds. */
  sentAt: "fireflylb-sent-at",
  /** Verdict of the outcome: not-run, may-have-run or ran. */
  verdict: "fireflylb-verdict",
  /** Code of a refusal. */
  refusal: "fireflylb-refusal",
  /** Id of the backend server that answered. */
  server: "fireflylb-server",
  /** Load of the backend server after the answer: slots in use and queue length. */
  load: "fireflylb-load",
} as const;
