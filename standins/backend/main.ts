/**
 * Starts the backend server stand-in:
 * node standins/backend/main.ts --listen HOST:PORT --control HOST:PORT --agent HOST:PORT
 * --service NAME --id NAME [--slots N] [--connections N] [--service-times "exponential 8"]
 * [--seed N] [--worker HOST:PORT] [--journal FILE] [--drain-ms N]
 */
import { parseArgs } from "node:util";
import { MachineClock } from "../support/MachineClock.ts";
import { BackendProcess } from "./BackendProcess.ts";

const { values } = parseArgs({
  options: {
    listen: { type: "string", default: "127.0.0.1:7300" },
    control: { type: "string", default: "127.0.0.1:7301" },
    agent: { type: "string", default: "127.0.0.1:7400" },
    worker: { type: "string", default: "127.0.0.1:7200" },
    service: { type: "string", default: "rota-desk" },
    id: { type: "string", default: "server" },
    slots: { type: "string", default: "8" },
    connections: { type: "string", default: "64" },
    "processors-milli": { type: "string", default: "4000" },
    "memory-bytes": { type: "string", default: "8000000000" },
    "service-times": { type: "string", default: "exponential 8" },
    seed: { type: "string", default: "1" },
    "drain-ms": { type: "string", default: "3000" },
    journal: { type: "string" },
  },
});

const server = new BackendProcess(new MachineClock(), {
  listen: values.listen,
  control: values.control,
  agent: values.agent,
  worker: values.worker,
  service: values.service,
  id: values.id,
  slots: Number(values.slots),
  connections: Number(values.connections),
  processorsMilli: Number(values["processors-milli"]),
  memoryBytes: Number(values["memory-bytes"]),
  serviceTimes: values["service-times"],
  seed: Number(values.seed),
  drainMs: Number(values["drain-ms"]),
  journal: values.journal,
});
process.once("SIGTERM", () => {
  void server.shutDown().then(() => {
    process.exit(0);
  });
});
await server.start();
console.log(`backend ${values.id}: listens on ${values.listen}, control on ${values.control}`);
