/**
 * Entries of the backend stand-in's journal, from which tests check the complete history.
 */

/** How a request ended at the server. */
export type RequestOutcome = "answered" | "failed" | "truncated" | "cut" | "hung";

/** Journal entry; times are milliseconds of the machine's monotonic clock. */
export type BackendEvent =
  | {
      readonly event: "request-start";
      readonly at: number;
      readonly server: string;
      readonly requestId: string;
      readonly attempt: string;
      readonly method: string;
      readonly path: string;
      /** Requests in progress, including this one. */
      readonly inUse: number;
      readonly draining: boolean;
    }
  | {
      readonly event: "request-end";
      readonly at: number;
      readonly server: string;
      readonly requestId: string;
      readonly attempt: string;
      readonly outcome: RequestOutcome;
      /** Whether the response was sent completely. */
      readonly delivered: boolean;
    }
  | { readonly event: "draining"; readonly at: number; readonly server: string }
  | { readonly event: "exit"; readonly at: number; readonly server: string };
