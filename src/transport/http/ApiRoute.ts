/**
 * Types of the routes that components contribute to the operators' HTTP interface.
 */

/** A request to a route. */
export interface ApiRequest {
  /** Values of the path parameters. */
  readonly params: Readonly<Record<string, string>>;
  /** Query parameters. */
  readonly query: Readonly<Record<string, string>>;
  /** Parsed JSON body; undefined if there is none. */
  readonly body: unknown;
}

/** Reply of a route; the body is sent as JSON. */
export interface ApiReply {
  readonly status: number;
  readonly body: unknown;
  readonly retryAfterSeconds?: number;
}

/** One route. */
export interface ApiRoute {
  readonly method: "GET" | "POST" | "PUT" | "DELETE";
  /** Path with named parameters, as in "/v1/jobs/:id". */
  readonly path: string;
  readonly handle: (req: ApiRequest) => Promise<ApiReply>;
}
