/**
 * Starts the store stand-in: node standins/store/main.ts --listen HOST:PORT --control HOST:PORT
 */
import { parseArgs } from "node:util";
import { SystemClock } from "../../src/transport/platform/SystemClock.ts";
import { StoreProcess } from "./StoreProcess.ts";

const { values } = parseArgs({
  options: {
    listen: { type: "string", default: "127.0.0.1:7100" },
    control: { type: "string", default: "127.0.0.1:7101" },
  },
});

await new StoreProcess(new SystemClock(), values.listen, values.control).start();
console.log(`store: listens on ${values.listen}, control on ${values.control}`);
