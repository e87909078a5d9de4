/**
 * Tests of the JSON log.
 */
import test from "ava";
import { PinoLog } from "../../../src/transport/log/PinoLog.ts";

test("PinoLog prefixes messages with the component and applies level changes", (t) => {
  const lines: string[] = [];
  const log = PinoLog.create("info", "entry-1", { write: (line) => lines.push(line) });
  const requests = log.child("requests");
  requests.debug("Not written.");
  requests.info("Listening.", { address: "127.0.0.1:1" });
  log.setLevel("debug");
  requests.debug("Written.");
  const written = lines.map((line) => JSON.parse(line) as Record<string, unknown>);
  t.deepEqual(
    written.map(({ level, process, msg, address }) => [level, process, msg, address]),
    [
      ["info", "entry-1", "requests: Listening.", "127.0.0.1:1"],
      ["debug", "entry-1", "requests: Written.", undefined],
    ],
  );
  t.is(log.getLevel(), "debug");
});
