/**
 * Client of the operator API that entries serve. Several entries may be given: where one cannot
 * serve a call, the next is tried. Every write carries an id, so that repeating it is safe.
 */
import { err, ok, ResultAsync, type Result } from "neverthrow";
import { request } from "undici";
import { isUnsent } from "../transport/http/isUnsent.ts";
import type { CommandFailure, CommandInput, FlagSpecs } from "./Command.ts";
import { ExitCode, type ExitCodeValue } from "./ExitCode.ts";

const DEFAULT_ADDRESS = "127.0.0.1:8082";
const TIMEOUT_MS = 15_000;
const FIRST_SERVER_ERROR = 500;
const FIRST_ERROR = 400;
const NOT_FOUND = 404;
const UNAVAILABLE = 503;
const OUTCOME_UNKNOWN = "outcome-unknown";

/** Flags of all commands that call an entry. */
export const API_FLAGS: FlagSpecs = {
  api: {
    type: "string",
    value: "ADDRESS",
    help: "Entries to call, as host:port separated by commas; default: FIREFLYLB_API",
  },
};

/** A call of the operator API. */
export interface ApiCall {
  readonly method: "GET" | "POST" | "DELETE";
  readonly path: string;
  readonly body?: unknown;
  /** Whether each entry holds a part of the data, so that after a 404 the next one is tried. */
  readonly tryAllEntries?: boolean;
}

/** Response of an entry. */
export interface ApiResponse {
  readonly status: number;
  readonly body: unknown;
}

/** Why a call got no response. */
export interface ApiCallFailure {
  /** Whether an entry may have executed the call. */
  readonly mayHaveActed: boolean;
  readonly detail: string;
}

/** Client of the operator API. */
export class ApiClient {
  private readonly _addresses: readonly string[];

  /**
   * Creates a client.
   * @param addresses - Addresses of entries, in the order in which they are tried.
   */
  constructor(addresses: readonly string[]) {
    this._addresses = addresses;
  }

  /**
   * Creates a client from a command's flags and the environment.
   * @param input - Arguments and flags.
   */
  static fromInput(input: CommandInput): ApiClient {
    const flag = input.flags.api;
    const given = typeof flag === "string" ? flag : process.env.FIREFLYLB_API;
    const addresses = (given ?? DEFAULT_ADDRESS).split(",").map((address) => address.trim());
    return new ApiClient(addresses.filter((address) => address !== ""));
  }

  /**
   * Sends a call; where an entry does not respond or cannot serve it, the next one is tried.
   * @param call - The call.
   */
  call(call: ApiCall): ResultAsync<ApiResponse, ApiCallFailure> {
    return new ResultAsync(this._callEachEntry(call));
  }

  /**
   * Sends a GET request and returns the body of the response.
   * @param path - Path with the query string.
   * @param tryAllEntries - Whether each entry holds only a part of the data.
   */
  read(path: string, tryAllEntries = false): ResultAsync<unknown, CommandFailure> {
    return this.call({ method: "GET", path, tryAllEntries })
      .mapErr(unreachableFailure)
      .andThen((response) =>
        response.status < FIRST_ERROR ? ok(response.body) : err(refusalFailure(response)),
      );
  }

  private async _callEachEntry(call: ApiCall): Promise<Result<ApiResponse, ApiCallFailure>> {
    let last: Result<ApiResponse, ApiCallFailure> = err({
      mayHaveActed: false,
      detail: "no address",
    });
    let mayHaveActed = false;
    for (const address of this._addresses) {
      last = await sendTo(address, call);
      if (last.isOk() && !shouldTryNextEntry(last.value, call)) {
        break;
      }
      mayHaveActed ||= last.isErr() && last.error.mayHaveActed;
    }
    if (last.isOk() && last.value.status < FIRST_ERROR) {
      return last;
    }
    // A refusal says nothing about an entry that did not respond and may still execute the call.
    if (last.isErr() || !mayHaveActed) {
      return last.mapErr((problem) => ({ ...problem, mayHaveActed }));
    }
    return err({ mayHaveActed, detail: describeResponse(last.value) });
  }
}

/**
 * Creates the failure for a response that refuses the call.
 * @param response - Response of the entry.
 */
export function refusalFailure(response: ApiResponse): CommandFailure {
  const body = isObject(response.body) ? response.body : {};
  const code = typeof body.code === "string" ? body.code : `http-${response.status}`;
  const exitCode = getExitCode(response.status, code);
  return { exitCode, code, lines: [describeResponse(response)], json: response.body };
}

function getExitCode(status: number, code: string): ExitCodeValue {
  if (code === OUTCOME_UNKNOWN) {
    return ExitCode.unknown;
  }
  return status === UNAVAILABLE ? ExitCode.unavailable : ExitCode.refused;
}

/**
 * Creates the failure of a call that got no response and certainly changed nothing.
 * @param failure - Why there is no response.
 */
export function unreachableFailure(failure: ApiCallFailure): CommandFailure {
  const lines = [failure.detail, "Name entries with --api or in FIREFLYLB_API."];
  return { exitCode: ExitCode.unavailable, code: "unreachable", lines };
}

/**
 * Returns whether a value is an object other than an array or null.
 * @param value - The value.
 */
export function isObject(value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

function describeResponse(response: ApiResponse): string {
  const detail = isObject(response.body) ? response.body.detail : undefined;
  return typeof detail === "string" ? detail : `the entry responded with status ${response.status}`;
}

function shouldTryNextEntry(response: ApiResponse, call: ApiCall): boolean {
  const missing = call.tryAllEntries === true && response.status === NOT_FOUND;
  const failedRead = call.method === "GET" && response.status >= FIRST_SERVER_ERROR;
  return missing || failedRead || response.status === UNAVAILABLE;
}

async function sendTo(
  address: string,
  call: ApiCall,
): Promise<Result<ApiResponse, ApiCallFailure>> {
  const options = {
    method: call.method,
    headersTimeout: TIMEOUT_MS,
    bodyTimeout: TIMEOUT_MS,
    ...(call.body === undefined
      ? {}
      : { body: JSON.stringify(call.body), headers: { "content-type": "application/json" } }),
  };
  try {
    const res = await request(`http://${address}${call.path}`, options);
    return ok({ status: res.statusCode, body: await res.body.json() });
  } catch (cause) {
    const code = (cause as NodeJS.ErrnoException).code ?? "";
    const reason = cause instanceof Error && cause.message !== "" ? cause.message : code;
    const mayHaveActed = call.method !== "GET" && !isUnsent(cause);
    return err({ mayHaveActed, detail: `${address}: ${reason}` });
  }
}
