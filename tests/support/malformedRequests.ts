/**
 * Unusual and malformed requests, on connections that can end at any byte of them.
 */
import { connect } from "node:net";
import type { RandomSource } from "../../src/protocol/platform/RandomSource.ts";

const MAX_WAIT_MS = 30;
const TIMEOUT_MS = 2_000;
const CUT_SHARE = 0.4;
const SERVICE_HEADERS = "host: a\r\nfireflylb-service: rota-desk\r\n";

const HEADS = [
  `POST / HTTP/1.1\r\n${SERVICE_HEADERS}`,
  `GET /x?y HTTP/1.1\r\n${SERVICE_HEADERS}`,
  "PUT /%zz HTTP/1.1\r\nhost: rota-desk.x\r\n",
  `POST / HTTP/1.1\r\n${SERVICE_HEADERS}fireflylb-timeout-ms: -1\r\n`,
  "OPTIONS * HTTP/1.1\r\nhost: rota-desk\r\n",
  "CONNECT a:1 HTTP/1.1\r\nhost: a\r\n",
  `GET / HTTP/1.1\r\n${SERVICE_HEADERS}upgrade: websocket\r\nconnection: upgrade\r\n`,
  `GET // HTTP/1.1\r\n${SERVICE_HEADERS}`,
  `GET http://other/ HTTP/1.1\r\n${SERVICE_HEADERS}`,
  `POST / HTTP/1.1\r\n${SERVICE_HEADERS}expect: 100-continue\r\n`,
  "POST / HTTP/1.1\r\nhost: a\r\nfireflylb-service: __proto__\r\n",
];

const BODIES = [
  "\r\n",
  `content-length: 900\r\n\r\n${"x".repeat(900)}`,
  `content-length: 900\r\n\r\n${"x".repeat(500)}`,
  "transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
  `transfer-encoding: chunked\r\n\r\n4000\r\n${"x".repeat(0x4000)}\r\n0\r\n\r\n`,
  "transfer-encoding: chunked\r\n\r\n5\r\nhel",
  "transfer-encoding: chunked\r\n\r\nzz",
  "content-length: 5\r\ncontent-length: 6\r\n\r\nhello",
  "content-length: -1\r\n\r\n",
  "content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
];

/**
 * Sends a random request, possibly truncated, and soon ends or destroys its connection.
 * @param address - Address to connect to, as "host:port".
 * @param random - Source of random numbers.
 */
export async function sendMalformedRequest(address: string, random: RandomSource): Promise<void> {
  const [host, port] = address.split(":");
  const head = HEADS[random.nextInt(HEADS.length)] ?? "";
  const text = head + (BODIES[random.nextInt(BODIES.length)] ?? "");
  const length = random.next() < CUT_SHARE ? random.nextInt(text.length) : text.length;
  const waitMs = random.nextInt(MAX_WAIT_MS);
  const cuts = random.next() < 0.5;
  await new Promise<void>((resolve) => {
    const socket = connect(Number(port), host);
    socket.on("error", () => undefined);
    socket.on("close", () => {
      resolve();
    });
    socket.resume();
    socket.write(text.slice(0, length));
    setTimeout(() => (cuts ? socket.destroy() : socket.end()), waitMs);
    setTimeout(() => socket.destroy(), TIMEOUT_MS).unref();
  });
}
