/**
 * Distinguishes failures caused by the request itself from those of the next hop, so that a caller's
 * malformed requests do not count against a backend server.
 */
import { errors } from "undici";
import type { RefusalCode } from "../../protocol/Refusal.ts";
import { BodyLimitError, IncompleteBodyError } from "./requestBody.ts";

/**
 * Gets the code of a failure caused by the request itself; undefined for any other failure.
 * @param reason - Error with which the exchange failed.
 */
export function getRequestErrorCode(reason: Error): RefusalCode | undefined {
  if (reason instanceof BodyLimitError) {
    return "body-too-large";
  }
  const isUnsendable =
    reason instanceof errors.InvalidArgumentError || reason instanceof errors.NotSupportedError;
  return isUnsendable || reason instanceof IncompleteBodyError ? "bad-request" : undefined;
}
