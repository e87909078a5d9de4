/**
 * Client of a server on loopback that responds as a test wants, and calls that have to fail.
 */
import { once } from "node:events";
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import type { ExecutionContext } from "ava";
import {
  JsonClient,
  type JsonCall,
  type JsonFailure,
} from "../../../src/transport/http/JsonClient.ts";

/** Time after which a call that should have failed counts as hanging, in milliseconds. */
const HANG_MS = 10_000;

/**
 * Starts a server and returns a client of it; both end with the test.
 * @param t - Context of the test.
 * @param connectTimeoutMs - Timeout of connecting in milliseconds.
 * @param respond - Handles a request.
 */
export async function createServedClient(
  t: ExecutionContext,
  connectTimeoutMs: number,
  respond: (req: IncomingMessage, res: ServerResponse) => void,
): Promise<JsonClient> {
  const server = createServer(respond);
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const client = new JsonClient(`127.0.0.1:${port}`, connectTimeoutMs);
  t.teardown(async () => {
    await client.close();
    server.closeAllConnections();
    server.close();
  });
  return client;
}

/**
 * Makes a call that fails, and returns its failure and when it failed.
 * @param client - The client.
 * @param call - The call.
 */
export async function fail(
  client: JsonClient,
  call: JsonCall,
): Promise<JsonFailure & { readonly failedAt: number }> {
  const hang = new AbortController();
  const response = await Promise.race([
    client.call(call),
    sleep(HANG_MS, undefined, { signal: hang.signal }).then(() => {
      throw new Error("the call hangs");
    }),
  ]);
  hang.abort();
  return { ...response._unsafeUnwrapErr(), failedAt: performance.now() };
}
