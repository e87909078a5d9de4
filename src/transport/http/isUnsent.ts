/**
 * Distinguishes failures to connect from failures of an established connection. The error code is not
 * enough: a network error such as EHOSTUNREACH also ends connections on which a request has already
 * been sent.
 */

/** Codes of errors that occur only before a connection is established. */
const CONNECT_CODES: readonly string[] = ["UND_ERR_CONNECT_TIMEOUT", "ENOTFOUND", "EAI_AGAIN"];

/**
 * Returns whether no byte of a request can have left this process.
 * @param cause - Error with which the request failed.
 */
export function isUnsent(cause: unknown): boolean {
  if (cause instanceof AggregateError) {
    return cause.errors.length > 0 && cause.errors.every(isUnsent);
  }
  if (!(cause instanceof Error)) {
    return false;
  }
  const code = "code" in cause ? String(cause.code) : "";
  const syscall = "syscall" in cause ? cause.syscall : undefined;
  return syscall === "connect" || CONNECT_CODES.includes(code);
}
