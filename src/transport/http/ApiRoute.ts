/**
 * Routes of the operators' HTTP interface. Parts offer their routes; the API server serves them.
 */

/** A request to a route. */
export interface ApiRequest {
  /** Values of the path's named parts. */
  readonly params: Readonly<Record<string, string>>;
  /** Values of the query. */
  readonly query: Readonly<Record<string, string>>;
  /** Parsed JSON body; undefined where there is none. */
  readonly body: unknown;
}

/** An answer of a route; the body is sent as JSON. */
export interface ApiReply {
  readonly status: number;
  readonly body: unknown;
  readonly retryAfterSeconds?: number;
}

/** One route. */
export interface ApiRoute {
  readonly method: "GET" | "POST" | "PUT" | "DELETE";
  /** Path with named parts, as in "/v1/jobs/:id". */
  readonly path: string;
  readonly handle: (req: ApiRequest) => Promise<ApiReply>;
}
