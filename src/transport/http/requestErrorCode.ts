/**
 * Tells failures that the request itself has caused from those of the next hop, so that a caller's
 * broken requests count against no backend server.
 */
import { errors } from "undici";
import type { RefusalCode } from "../../protocol/Refusal.ts";
import { BodyLimitError, IncompleteBodyError } from "./requestBody.ts";

/**
 * Gives the code of a failure that the request itself has caused; undefined for any other.
 * @param reason - Why the exchange failed.
 */
export function getRequestErrorCode(reason: Error): RefusalCode | undefined {
  if (reason instanceof BodyLimitError) {
    return "body-too-large";
  }
  const isUnsendable =
    reason instanceof errors.InvalidArgumentError || reason instanceof errors.NotSupportedError;
  return isUnsendable || reason instanceof IncompleteBodyError ? "bad-request" : undefined;
}
