/**
 * Starts the fault-injecting proxy:
 * node standins/proxy/main.ts --listen HOST:PORT --target HOST:PORT --control HOST:PORT
 */
import { parseArgs } from "node:util";
import { MachineClock } from "../support/MachineClock.ts";
import { createReply, JsonServer } from "../support/JsonServer.ts";
import type { JsonReply, JsonRequest } from "../support/JsonServer.ts";
import { FaultProxy } from "./FaultProxy.ts";
import { ProxyFaultsChange } from "./ProxyFaults.ts";

const { values } = parseArgs({
  options: {
    listen: { type: "string", default: "127.0.0.1:7500" },
    target: { type: "string", default: "127.0.0.1:7100" },
    control: { type: "string", default: "127.0.0.1:7501" },
  },
});

const proxy = new FaultProxy(new MachineClock(), values.listen, values.target);

async function serve(req: JsonRequest): Promise<JsonReply> {
  switch (`${req.method} ${req.path}`) {
    case "GET /health":
      return createReply({ ready: true });
    case "GET /counts":
      return createReply(proxy.counts);
    case "PUT /faults":
      await proxy.setFaults(ProxyFaultsChange.parse(req.body));
      return createReply(proxy.faults);
    case "POST /cut":
      proxy.cutAll();
      return createReply({});
    case "POST /heal":
      await proxy.clearFaults();
      return createReply({});
    default:
      return createReply({ error: "unknown-operation" }, 404);
  }
}

await proxy.start();
await new JsonServer(values.control, serve).start();
console.log(`proxy: forwards ${values.listen} to ${values.target}, control on ${values.control}`);
