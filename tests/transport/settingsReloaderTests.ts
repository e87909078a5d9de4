/**
 * Tests of reading the settings of a running process again.
 */
import test from "ava";
import { readPoolEntrySettings } from "../../src/protocol/settings/PoolEntrySettings.ts";
import { SettingsReloader } from "../../src/transport/SettingsReloader.ts";
import { MemoryLog } from "../support/MemoryLog.ts";

const TEXT = `[entry]
name = entry-1
zone = zone-a
submissions = 127.0.0.1:8080
readiness = 127.0.0.1:8081
link_mbps = 100
[store]
address = 127.0.0.1:2379
[log]
level = info
`;

function createReloader() {
  const log = new MemoryLog();
  const levels: string[] = [];
  const file = { text: TEXT, isMissing: false };
  const reloader = new SettingsReloader({
    settings: readPoolEntrySettings("entry.ini", TEXT)._unsafeUnwrap(),
    read: () => {
      if (file.isMissing) {
        throw new Error("ENOENT: no such file");
      }
      return readPoolEntrySettings("entry.ini", file.text);
    },
    log,
    setLogLevel: (level) => {
      levels.push(level);
    },
  });
  const getLastLine = () => log.lines.at(-1);
  return { file, levels, reloader, getLastLine };
}

test("SettingsReloader applies a changed log level once", (t) => {
  const { file, levels, reloader, getLastLine } = createReloader();
  file.text = TEXT.replace("level = info", "level = debug");
  reloader.reload();
  reloader.reload();
  t.deepEqual(levels, ["debug"]);
  file.text = TEXT;
  reloader.reload();
  t.deepEqual(levels, ["debug", "info"]);
  t.is(getLastLine()?.level, "info");
});

test("SettingsReloader names changed settings that take effect at the next start", (t) => {
  const { file, levels, reloader, getLastLine } = createReloader();
  file.text = TEXT.replace("link_mbps = 100", "link_mbps = 7\ndrain_ms = 10");
  reloader.reload();
  t.deepEqual(levels, []);
  t.like(getLastLine(), {
    level: "warn",
    fields: { settings: "entry.linkMbps entry.drainMs" },
  });
});

// Guards against a process that ends, or loses its settings, when the file is being written.
test("SettingsReloader keeps the settings if the file is missing or invalid, and says why", (t) => {
  const { file, levels, reloader, getLastLine } = createReloader();
  file.text = TEXT.replace("link_mbps = 100", "link_mbps = fast").replace("info", "debug");
  reloader.reload();
  t.like(getLastLine(), { level: "error" });
  t.regex(String(getLastLine()?.fields.reason), /\[entry\] link_mbps = fast/);
  file.isMissing = true;
  reloader.reload();
  t.like(getLastLine(), { level: "error", fields: { reason: "Error: ENOENT: no such file" } });
  t.deepEqual(levels, []);
});
