/**
 * Tells failures of a connection that was never made from failures of one that was. The code of the
 * error is not enough: a network error such as EHOSTUNREACH also ends connections on which a request
 * has already been sent.
 */

/** Errors of the client that stand for a connection that was never made. */
const CONNECT_CODES: readonly string[] = ["UND_ERR_CONNECT_TIMEOUT", "ENOTFOUND", "EAI_AGAIN"];

/**
 * Tells whether no byte of a request can have left this process.
 * @param cause - What the request failed with.
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
