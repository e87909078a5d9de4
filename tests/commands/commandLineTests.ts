/**
 * Tests of the command line against an operator API with scripted responses.
 */
import { mkdtemp, writeFile } from "node:fs/promises";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import test, { type ExecutionContext } from "ava";
import { CommandLine } from "../../src/commands/CommandLine.ts";
import { COMMANDS } from "../../src/commands/commands.ts";
import { ExitCode, type ExitCodeValue } from "../../src/commands/ExitCode.ts";
import { EMPTY_DOCUMENT, type ConfigDocument } from "../../src/protocol/config/ConfigDocument.ts";
import type { ApiReply, ApiRequest, ApiRoute } from "../../src/transport/http/ApiRoute.ts";
import { ApiServer } from "../../src/transport/http/ApiServer.ts";
import { PinoLog } from "../../src/transport/log/PinoLog.ts";

interface Run {
  readonly code: ExitCodeValue;
  readonly out: readonly string[];
  readonly err: readonly string[];
}

const DOCUMENT: ConfigDocument = {
  ...EMPTY_DOCUMENT,
  profiles: {
    evening: {
      headroomProcessorsMilli: 2000,
      headroomMemoryBytes: 1_073_741_824,
      latencyObjectiveMs: 40,
      toleratedDisturbancePercent: 10,
      yieldOrder: ["throttle", "evict"],
      throttleFloorPercent: 20,
      maxEvictionsPerMinute: 2,
      heat: [],
    },
  },
  assignments: { "rota-desk": "evening" },
};

async function run(...argv: readonly string[]): Promise<Run> {
  const out: string[] = [];
  const err: string[] = [];
  const line = new CommandLine(COMMANDS, {
    writeOut: (text) => out.push(text),
    writeErr: (text) => err.push(text),
  });
  return { code: await line.run(argv), out, err };
}

async function startApi(t: ExecutionContext, routes: readonly ApiRoute[]): Promise<string> {
  const server = new ApiServer({
    setting: "[entry] api",
    routes,
    renderMetrics: () => Promise.resolve(""),
    getUnreadyReasons: () => [],
    log: PinoLog.create("error", "test", { write: () => undefined }),
  });
  const address = (await server.listen("127.0.0.1:0"))._unsafeUnwrap();
  t.teardown(() => server.close(100));
  return address;
}

function createRoute(
  method: ApiRoute["method"],
  path: string,
  handle: (req: ApiRequest) => ApiReply,
): ApiRoute {
  return { method, path, handle: (req) => Promise.resolve(handle(req)) };
}

const CONFIG = createRoute("GET", "/v1/config", () => ({
  status: 200,
  body: { revision: 7, document: DOCUMENT },
}));

function createChangesRoute(reply: ApiReply, seen: unknown[] = []): ApiRoute {
  return createRoute("POST", "/v1/config/changes", (req) => {
    seen.push(req.body);
    return reply;
  });
}

async function writeTemp(name: string, text: string): Promise<string> {
  const file = join(await mkdtemp(join(tmpdir(), "fireflylb-")), name);
  await writeFile(file, text);
  return file;
}

/** Accepts connections and closes each one as soon as data arrives. */
async function startDisconnectingServer(t: ExecutionContext): Promise<string> {
  const server = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.once("data", () => socket.destroy());
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => server.close());
  const address = server.address();
  return `127.0.0.1:${typeof address === "object" ? (address?.port ?? 0) : 0}`;
}

test("CommandLine prints help for the program and for each command", async (t) => {
  const overview = await run("--help");
  t.is(overview.code, ExitCode.done);
  t.true(COMMANDS.every(({ words }) => overview.out[0]?.includes(`fireflylb ${words}`)));
  const helps = await Promise.all(COMMANDS.map(({ words }) => run(...words.split(" "), "--help")));
  helps.forEach(({ code, out }, i) => {
    t.is(code, ExitCode.done);
    t.regex(out[0] ?? "", new RegExp(`^Usage: fireflylb ${COMMANDS[i]?.words ?? ""}`));
  });
});

test("CommandLine rejects unknown commands and wrong arguments with exit code 2", async (t) => {
  const runs = await Promise.all([
    run(),
    run("prfile", "list"),
    run("profile"),
    run("assignment", "set", "rota"),
    run("status", "surplus"),
    run("entry"),
    run("heat", "set", "ahm-1", "11"),
    run("quota", "set", "a", "--processors", "many", "--memory-mib", "1"),
    run("profile", "diff"),
    run("change", "settle", "change-1"),
  ]);
  t.true(runs.every(({ code, err }) => code === ExitCode.usage && err.length > 0));
});

test("config check reports file, section, key, value and allowed values", async (t) => {
  const file = await writeTemp("entry.ini", "[entry]\nname = e\nzones = a\n[log]\nlevel = loud\n");
  const text = await run("config", "check", file);
  t.is(text.code, ExitCode.badFile);
  t.true(text.err.some((line) => line.includes(`${file}: [log] level = loud: expected one of`)));
  t.true(text.err.some((line) => line.includes("[entry] zones = a")));
  const json = await run("config", "check", file, "--json");
  t.regex(json.out[0] ?? "", /"section":"log","key":"level","value":"loud","allowed":"one of/);
});

test("config check accepts configuration documents and rejects invalid profiles", async (t) => {
  const profile = "[profile evening]\nlatency-objective-ms = 40\n";
  const wrong = await run("config", "check", await writeTemp("config.ini", profile));
  t.is(wrong.code, ExitCode.badFile);
  t.regex(wrong.err[0] ?? "", /bad-setting: .*\[profile evening\]/);
  t.is((await run("config", "check", "/nowhere.ini")).code, ExitCode.badFile);
  t.is((await run("config", "check", await writeTemp("empty.ini", ""))).code, ExitCode.badFile);
});

test("profile show writes a file that profile apply reads with its base revision", async (t) => {
  const seen: unknown[] = [];
  const reply = { status: 200, body: { kind: "accepted", changeId: "c", revision: 8 } };
  const api = await startApi(t, [CONFIG, createChangesRoute(reply, seen)]);
  const shown = await run("profile", "show", "--api", api);
  const text = shown.out.join("\n");
  const same = await writeTemp("same.ini", text);
  const unchanged = await run("profile", "apply", same, "--api", api);
  t.deepEqual(unchanged.out, ["nothing to change at revision 7"]);
  const edited = text.replace("# revision 7", "# revision 5").replace("= 40", "= 50");
  const file = await writeTemp("edited.ini", edited);
  const diff = await run("profile", "diff", file, "--api", api);
  t.is(diff.out[0], "profiles evening");
  const applied = await run("profile", "apply", file, "--api", api, "--change-id", "change-1");
  t.deepEqual([applied.code, applied.out], [0, ["accepted as revision 8 (change change-1)"]]);
  const body = seen[0] as { baseRevision: number; operations: readonly { kind: string }[] };
  t.is(body.baseRevision, 5);
  t.deepEqual(
    body.operations.map(({ kind }) => kind),
    ["set-profile"],
  );
});

test("assignment set reports a conflict with its values and changes nothing", async (t) => {
  const conflict = { section: "assignments", key: "rota-desk", current: "night", author: "ana" };
  const body = {
    kind: "refused",
    reason: "conflict",
    detail: "changed since",
    conflicts: [conflict],
  };
  const api = await startApi(t, [CONFIG, createChangesRoute({ status: 409, body })]);
  const { code, err } = await run(
    "assignment",
    "set",
    "rota-desk",
    "x",
    "--base",
    "5",
    "--api",
    api,
  );
  t.is(code, ExitCode.refused);
  t.regex(err.join("\n"), /conflict: changed since[^]*rota-desk\s+night\s+ana/);
});

test("quota set --wait waits until the change is in force everywhere", async (t) => {
  const reply = { status: 200, body: { kind: "accepted", changeId: "c", revision: 8 } };
  const missing = [[{ role: "agent", name: "vm-1" }], []];
  const coverageRoute = createRoute("GET", "/v1/config/coverage", ({ query }) => {
    t.is(query.revision, "8");
    const rest = missing.shift() ?? [];
    const body = { total: 3, holding: 3 - rest.length, complete: rest.length === 0, missing: rest };
    return { status: 200, body };
  });
  const api = await startApi(t, [CONFIG, createChangesRoute(reply), coverageRoute]);
  const size = ["--processors", "4", "--memory-mib", "1024"];
  const { code, out } = await run("quota", "set", "a", ...size, "--wait", "--api", api);
  t.is(code, ExitCode.done);
  t.is(out[1], "in force at all 3 processes");
  t.deepEqual(missing, []);
});

test("heat set reports an unknown outcome with the command that settles it", async (t) => {
  const body = { kind: "unknown", changeId: "c", detail: "the store did not respond" };
  const api = await startApi(t, [CONFIG, createChangesRoute({ status: 504, body })]);
  const args = ["heat", "set", "ahm-1", "2", "--change-id", "change-1"];
  const unknown = await run(...args, "--api", api);
  t.is(unknown.code, ExitCode.unknown);
  t.regex(unknown.err.join("\n"), /fireflylb change settle change-1 --since 7/);
});

test("job submit tries the next entry and reports an unknown outcome if one may have acted", async (t) => {
  const job = ["job", "submit", "--tenant", "a", "--kind", "k", "--key", "key-1"];
  const size = ["--processors", "0.5", "--memory-mib", "64"];
  const submit = (api: string): Promise<Run> => run(...job, ...size, "--api", api);
  const seen: unknown[] = [];
  const accepting = await startApi(t, [
    createRoute("POST", "/v1/jobs", (req) => {
      seen.push(req.body);
      return { status: 202, body: { job: "j-1" } };
    }),
  ]);
  const down = await startApi(t, [
    createRoute("POST", "/v1/jobs", () => ({ status: 503, body: { code: "store-unavailable" } })),
  ]);
  const disconnecting = await startDisconnectingServer(t);
  const accepted = await submit(`${disconnecting},${down},${accepting}`);
  t.deepEqual([accepted.code, accepted.out], [0, ["job  j-1"]]);
  t.like(seen[0], { key: "key-1", resources: { processorsMilli: 500, memoryBytes: 67_108_864 } });
  t.is((await submit(down)).code, ExitCode.unavailable);
  const unknown = await submit(`${disconnecting},${down}`);
  t.is(unknown.code, ExitCode.unknown);
  t.regex(unknown.err.join("\n"), /--key key-1/);
});

test("job cancel reports an unknown outcome if the entry does not know it", async (t) => {
  const body = { code: "outcome-unknown", detail: "the log did not respond" };
  const api = await startApi(t, [
    createRoute("DELETE", "/v1/jobs/:id", () => ({ status: 504, body })),
  ]);
  const { code, err } = await run("job", "cancel", "j-1", "--api", api);
  t.is(code, ExitCode.unknown);
  t.regex(err.join("\n"), /outcome-unknown: the log did not respond[^]*cancelling again/);
});

test("status explains how to specify entries if none is reachable", async (t) => {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const address = server.address();
  await new Promise((resolve) => server.close(resolve));
  const free = `127.0.0.1:${typeof address === "object" ? (address?.port ?? 0) : 0}`;
  const { code, err } = await run("status", "--api", free);
  t.is(code, ExitCode.unavailable);
  t.regex(err.join("\n"), /unreachable: .*FIREFLYLB_API/s);
});

test("explain tries the next entry if one does not know the subject", async (t) => {
  const missing = await startApi(t, []);
  const path = "/v1/explain/request/:id";
  const found = await startApi(t, [
    createRoute("GET", path, ({ params }) => ({ status: 200, body: { id: params.id } })),
  ]);
  const explained = await run(
    "explain",
    "request",
    "a/b",
    "--json",
    "--api",
    `${missing},${found}`,
  );
  t.deepEqual([explained.code, explained.out], [0, ['{"id":"a/b"}']]);
  const unknown = await run("explain", "request", "a", "--api", missing);
  t.is(unknown.code, ExitCode.refused);
  t.regex(unknown.err[0] ?? "", /not-found/);
});
