/**
 * Starts the worker stand-in:
 * node standins/worker/main.ts --listen HOST:PORT --vm NAME [--processors-milli N]
 * [--memory-bytes N] [--accelerators N] [--usage-lag-ms N] [--journal FILE]
 */
import { parseArgs } from "node:util";
import { MachineClock } from "../support/MachineClock.ts";
import { WorkerProcess } from "./WorkerProcess.ts";

const CRASH_STATUS = 70;

const { values } = parseArgs({
  options: {
    listen: { type: "string", default: "127.0.0.1:7200" },
    vm: { type: "string", default: "vm" },
    "processors-milli": { type: "string", default: "16000" },
    "memory-bytes": { type: "string", default: "60000000000" },
    accelerators: { type: "string", default: "0" },
    "usage-lag-ms": { type: "string", default: "2000" },
    journal: { type: "string" },
  },
});

const worker = new WorkerProcess(new MachineClock(), {
  listen: values.listen,
  vm: values.vm,
  capacity: {
    processorsMilli: Number(values["processors-milli"]),
    memoryBytes: Number(values["memory-bytes"]),
    accelerators: Number(values.accelerators),
  },
  usageLagMs: Number(values["usage-lag-ms"]),
  journal: values.journal,
  onCrash: () => {
    process.exit(CRASH_STATUS);
  },
});
await worker.start();
console.log(`worker ${values.vm}: listens on ${values.listen}`);
