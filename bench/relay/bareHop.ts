/**
 * One hop of a bare relay, the baseline of the relay benchmark: it forwards each request from a
 * `node:http` server to an `undici` client without any decision. Runs as a process:
 * node bench/relay/bareHop.ts LISTEN_PORT TARGET_PORT
 */
import { createServer } from "node:http";
import { Pool } from "undici";

const [listenPort, targetPort] = process.argv.slice(2).map(Number);
const pool = new Pool(`http://127.0.0.1:${targetPort ?? 0}`, { connections: 128, pipelining: 1 });

const server = createServer({ noDelay: true }, (req, res) => {
  pool.stream(
    {
      path: req.url ?? "/",
      method: req.method as "GET" | "POST",
      headers: { host: req.headers.host ?? "" },
      body: req.method === "POST" ? req : null,
    },
    ({ statusCode, headers }) => {
      res.writeHead(statusCode, headers);
      return res;
    },
    (err) => {
      if (err !== null) {
        res.destroy();
      }
    },
  );
});
server.listen(listenPort, "127.0.0.1", () => {
  console.log("listening");
});
