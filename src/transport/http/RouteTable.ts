/**
 * Finds the route of a request by method and path.
 */
import { err, ok, type Result } from "neverthrow";
import type { RefusalCode } from "../../protocol/Refusal.ts";
import type { ApiRoute } from "./ApiRoute.ts";

/** A route with the values of its path parameters. */
export interface RouteMatch {
  readonly route: ApiRoute;
  readonly params: Readonly<Record<string, string>>;
}

/** Reason why no route matches a request. */
export interface RouteMiss {
  readonly code: RefusalCode;
  readonly detail: string;
  /** Methods of the routes with this path; empty if the path is unknown. */
  readonly methods: readonly string[];
}

/** Route table of one server. */
export class RouteTable {
  private readonly _routes: readonly ApiRoute[];

  /**
   * Creates the table.
   * @param routes - All routes.
   */
  constructor(routes: readonly ApiRoute[]) {
    this._routes = routes;
  }

  /**
   * Finds the route of a request.
   * @param method - Method of the request.
   * @param path - Path of the request without the query.
   */
  find(method: string, path: string): Result<RouteMatch, RouteMiss> {
    const matches = this._routes.flatMap((route) => {
      const params = matchPath(route.path, path);
      return params === undefined ? [] : [{ route, params }];
    });
    const found = matches.find((match) => match.route.method === method);
    if (found !== undefined) {
      return ok(found);
    }
    const methods = matches.map((match) => match.route.method);
    return methods.length === 0
      ? err({ code: "not-found", detail: `no such path: ${path}`, methods })
      : err({
          code: "method-not-allowed",
          detail: `${path} allows ${methods.join(", ")}`,
          methods,
        });
  }
}

function matchPath(pattern: string, path: string): Readonly<Record<string, string>> | undefined {
  const patternParts = pattern.split("/");
  const pathParts = path.split("/");
  if (patternParts.length !== pathParts.length) {
    return undefined;
  }
  const pairs = patternParts.map((part, i): readonly [string, string | undefined] => [
    part,
    decodePart(pathParts[i] ?? ""),
  ]);
  const isMatch = pairs.every(([part, value]) =>
    part.startsWith(":") ? value !== undefined && value !== "" : value === part,
  );
  if (!isMatch) {
    return undefined;
  }
  const named = pairs.filter(([part]) => part.startsWith(":"));
  return Object.fromEntries(named.map(([part, value]) => [part.slice(1), value ?? ""]));
}

function decodePart(part: string): string | undefined {
  try {
    return decodeURIComponent(part);
  } catch {
    return undefined;
  }
}
