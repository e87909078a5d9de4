/**
 * Tests of reading settings files.
 */
import test from "ava";
import { readAgentSettings } from "../../../src/protocol/settings/AgentSettings.ts";
import { readEntrySettings } from "../../../src/protocol/settings/EntrySettings.ts";
import { readPoolEntrySettings } from "../../../src/protocol/settings/PoolEntrySettings.ts";

const ENTRY = `
[entry]
name = entry-1
region = guj
zone = ahm-1
listen = 127.0.0.1:8080
control = 127.0.0.1:8081
api = [::1]:8082
[store]
address = 127.0.0.1:2379
`;

test("readEntrySettings applies defaults and names members in camel case", (t) => {
  const settings = readEntrySettings("entry.ini", ENTRY)._unsafeUnwrap();
  t.is(settings.entry.api, "[::1]:8082");
  t.is(settings.requests.maxBodyBytes, 67_108_864);
  t.is(settings.fleet.heartbeatMs, 500);
  t.is(settings.log.level, "info");
});

test("readEntrySettings reports every problem with its location", (t) => {
  const text = `${ENTRY}
stray = 1
[requests]
max_in_flight = 0
max_in_fligth = 7
[log]
level = loud
[logs]
level = info
`;
  const problems = readEntrySettings("e.ini", text)._unsafeUnwrapErr();
  const found = problems.map(({ file, section, key, value }) => [file, section, key, value]);
  t.deepEqual(found, [
    ["e.ini", "store", "stray", "1"],
    ["e.ini", "requests", "max_in_fligth", "7"],
    ["e.ini", "logs", "", ""],
    ["e.ini", "log", "level", "loud"],
    ["e.ini", "requests", "max_in_flight", "0"],
  ]);
  t.true(problems.every((problem) => problem.allowed !== ""));
  t.regex(problems[3]?.message ?? "", /one of debug, info, warn, error/);
});

test("readEntrySettings rejects a missing section, a repeated key and a key outside of sections", (t) => {
  const text = `name = x\n${ENTRY.replace("zone = ahm-1", "zone = a\nzone = b")}`.replace(
    /\[store\][^]*/,
    "",
  );
  const problems = readEntrySettings("e.ini", text)._unsafeUnwrapErr();
  t.deepEqual(
    problems.map(({ section, key, value }) => [section, key, value]),
    [
      ["", "name", "x"],
      ["entry", "zone", '["a","b"]'],
      ["store", "address", "(missing)"],
    ],
  );
});

test("readEntrySettings rejects numbers in other formats", (t) => {
  const refused = ["-1", "1.5", "1e3", "0x10", "1s", "", "99999999999999999999"];
  refused.forEach((value) => {
    const result = readEntrySettings("e.ini", `${ENTRY}[requests]\nmax_timeout_ms = ${value}\n`);
    t.true(result.isErr(), value);
  });
});

test("readAgentSettings reads the list of entries", (t) => {
  const text = `[agent]
name = vm-1
region = guj
zone = ahm-1
rack = r1
listen = 127.0.0.1:1
control = 127.0.0.1:2
local = 127.0.0.1:3
admin = 127.0.0.1:4
entries = 127.0.0.1:5, 127.0.0.1:6
[worker]
address = 127.0.0.1:7
`;
  const settings = readAgentSettings("a.ini", text)._unsafeUnwrap();
  t.deepEqual(settings.agent.entries, ["127.0.0.1:5", "127.0.0.1:6"]);
  const bad = readAgentSettings("a.ini", text.replace("0.1:6", "0.1:66666"))._unsafeUnwrapErr();
  t.is(bad[0]?.key, "entries");
});

test("readPoolEntrySettings reads what the VM gives the process, and rejects what it cannot be", (t) => {
  const read = (lines: string) =>
    readPoolEntrySettings(
      "entry.ini",
      `[entry]
name = entry-1
zone = zone-a
submissions = 127.0.0.1:8080
readiness = 127.0.0.1:8081
${lines}
[store]
address = 127.0.0.1:2379
`,
    );
  const { entry } = read("processor_share = 0.675\nprocessor_speed = 2")._unsafeUnwrap();
  t.like(entry, { processorShare: 0.675, processorSpeed: 2 });
  t.like(read("")._unsafeUnwrap().entry, { processorShare: 1, processorSpeed: 1 });
  t.is(read("processor_share = 0")._unsafeUnwrapErr()[0]?.key, "processor_share");
  t.is(read("processor_speed = fast")._unsafeUnwrapErr()[0]?.key, "processor_speed");
});

test("readPoolEntrySettings reads a bandwidth with or without decimal places", (t) => {
  const read = (linkMbps: string) =>
    readPoolEntrySettings(
      "entry.ini",
      `[entry]
name = entry-1
zone = zone-a
submissions = 127.0.0.1:8080
readiness = 127.0.0.1:8081
link_mbps = ${linkMbps}
[store]
address = 127.0.0.1:2379
`,
    ).map(({ entry }) => entry.linkMbps);
  t.is(read("10")._unsafeUnwrap(), 10);
  t.is(read("7.5")._unsafeUnwrap(), 7.5);
  t.deepEqual(
    ["", "-1", "0", "1e3", "fast"].map((text) => read(text).isErr()),
    [true, true, true, true, true],
  );
});
