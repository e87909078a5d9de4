/**
 * Entries of the backend stand-in's journal, for checks of whole histories.
 */

/** How a request ended at the server. */
export type RequestOutcome = "answered" | "failed" | "truncated" | "cut" | "hung";

/** An entry; times are milliseconds of the machine's monotonic clock. */
export type BackendEvent =
  | {
      readonly event: "request-start";
      readonly at: number;
      readonly server: string;
      readonly requestId: string;
      readonly attempt: string;
      readonly method: string;
      readonly path: string;
      /** Requests that run now, this one included. */
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
      /** Whether the caller was still there. */
      readonly delivered: boolean;
    }
  | { readonly event: "draining"; readonly at: number; readonly server: string }
  | { readonly event: "exit"; readonly at: number; readonly server: string };
