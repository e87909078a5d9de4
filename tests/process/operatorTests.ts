/**
 * Tests of the operators' interfaces against a small deployment of separate processes: the examples
 * in the documentation of the command line, run unchanged, and the metrics of both roles.
 */
import { execFile } from "node:child_process";
import { copyFileSync, readFileSync, symlinkSync } from "node:fs";
import { join, resolve } from "node:path";
import { promisify } from "node:util";
import anyTest, { type TestFn } from "ava";
import { z } from "zod";
import { sendMalformedRequest } from "../support/malformedRequests.ts";
import { SeededRandom } from "../support/SeededRandom.ts";
import { waitUntil } from "../../standins/cluster/waitUntil.ts";
import { Cluster } from "../../standins/cluster/Cluster.ts";

const test = anyTest as TestFn<{ readonly cluster: Cluster }>;

const PAGE = "docs/CLI.md";
const SHELL_BLOCK = /```sh\n([^]*?)```/g;
const PAGE_ADDRESS = "127.0.0.1:8082";
const SEED = 20_268;
const BINARY = resolve("dist/fireflylb");

const jobsSchema = z.object({ jobs: z.array(z.object({ id: z.string() })).min(1) });

/** Gets the commands of the page's examples, each on one line. */
function readCommands(): readonly string[] {
  const blocks = [...readFileSync(PAGE, "utf8").matchAll(SHELL_BLOCK)].map(([, text = ""]) => text);
  return blocks
    .join("")
    .replaceAll("\\\n", "")
    .split("\n")
    .filter((line) => line !== "");
}

/** Shell in the deployment's directory, in which `fireflylb` runs the built binary. */
class ExampleShell {
  private readonly _cwd: string;
  private readonly _env: NodeJS.ProcessEnv;

  constructor(cwd: string, api: string) {
    this._cwd = cwd;
    this._env = { ...process.env, FIREFLYLB_API: api, BINARY };
  }

  async run(command: string): Promise<string> {
    const script = `fireflylb() { "$BINARY" "$@"; }\n${command}`;
    const options = { cwd: this._cwd, env: this._env };
    const { stdout } = await promisify(execFile)("bash", ["-euc", script], options);
    return stdout;
  }
}

test.before(async (t) => {
  const entrySettings = { requests: { max_body_bytes: 1000 } };
  const cluster = await Cluster.start({ entries: 1, zones: ["gujarat-a"], entrySettings });
  t.context = { cluster };
});

test.after.always(async (t) => {
  await t.context.cluster.stop();
});

async function readMetrics(address: string): Promise<string> {
  return (await fetch(`http://${address}/metrics`)).text();
}

test("the metrics of both roles have latency histograms for each tenant, class and service", async (t) => {
  const { cluster } = t.context;
  const { api, listen } = cluster.getEntry();
  const headers = {
    "fireflylb-service": "rota-desk",
    "fireflylb-tenant": "paper-surat",
    "fireflylb-class": "urgent",
  };
  const res = await fetch(`http://${listen}/`, { headers });
  t.is(res.status, 200);
  await res.text();
  const series = 'tenant="paper-surat",class="urgent",service="rota-desk"';
  const entry = await readMetrics(api);
  t.true(entry.includes(`fireflylb_request_latency_requests_total{${series}} 1`));
  t.true(entry.includes(`fireflylb_request_latency_seconds{${series},quantile="0.999"}`));
  t.regex(entry, /requests_total\{service="rota-desk",verdict="ran",code="[a-z-]*"\} [1-9]/);
  const agents = await Promise.all(cluster.vms.map((vm) => readMetrics(vm.agent.admin)));
  const recorded = `fireflylb_request_latency_requests_total{${series}} 1`;
  t.is(agents.filter((text) => text.includes(recorded)).length, 1);
  t.true(agents.every((text) => text.includes("fireflylb_committed_processors_milli")));
});

test("an entry refuses a streamed body that exceeds the limit and keeps serving", async (t) => {
  const { listen } = t.context.cluster.getEntry();
  const chunks = ["x".repeat(600), "x".repeat(600)];
  const headers = { "fireflylb-service": "rota-desk" };
  const post = (parts: readonly string[]): Promise<Response> => {
    const body = ReadableStream.from(parts.map((part) => Buffer.from(part)));
    return fetch(`http://${listen}/`, { method: "POST", headers, body, duplex: "half" });
  };
  const large = await post(chunks);
  t.is(large.status, 413);
  t.is(large.headers.get("fireflylb-refusal"), "body-too-large");
  const small = await post(chunks.slice(1));
  t.is(small.status, 200);
});

test("an entry survives malformed requests and does not eject backend servers because of them", async (t) => {
  const { listen, api } = t.context.cluster.getEntry();
  const random = new SeededRandom(SEED);
  t.log(`seed ${SEED}`);
  const batchSizes = Array.from({ length: 15 }, () => 20);
  await batchSizes.reduce(async (previous, count) => {
    await previous;
    await Promise.all(Array.from({ length: count }, () => sendMalformedRequest(listen, random)));
  }, Promise.resolve());
  const headers = { "fireflylb-service": "rota-desk" };
  const res = await fetch(`http://${listen}/`, { headers });
  t.is(res.status, 200);
  await res.text();
  const metrics = await readMetrics(api);
  t.true(metrics.includes('fireflylb_servers_ejected{service="rota-desk"} 0\n'));
  t.notRegex(metrics, /code="upstream-/);
  await waitUntil("no request is in flight", 5_000, async () =>
    (await readMetrics(api)).includes("fireflylb_requests_in_flight 0\n"),
  );
});

test("the examples in the documentation of the command line run unchanged", async (t) => {
  const { cluster } = t.context;
  const { api, listen } = cluster.getEntry();
  const { folder } = cluster.files;
  copyFileSync(join(folder, "entry-1.ini"), join(folder, "entry.ini"));
  symlinkSync(resolve("examples"), join(folder, "examples"));
  const shell = new ExampleShell(folder, api);
  await waitUntil("all partitions are owned", 20_000, async () =>
    (await readMetrics(api)).includes("fireflylb_partitions_owned 8\n"),
  );
  const values = new Map([["JOB", ""]]);
  const res = await fetch(`http://${listen}/`, { headers: { "fireflylb-service": "rota-desk" } });
  await res.text();
  values.set("REQUEST", res.headers.get("fireflylb-request-id") ?? "");

  const commands = readCommands();
  t.true(commands.length > 15);
  for (const command of commands) {
    const filled = [...values].reduce(
      (text, [name, value]) => text.replace(new RegExp(`\\b${name}$`), value),
      command.replace(PAGE_ADDRESS, api),
    );
    await t.notThrowsAsync(shell.run(filled), filled);
    if (command.startsWith("fireflylb job submit")) {
      const listed = jobsSchema.parse(JSON.parse(await shell.run("fireflylb job list --json")));
      values.set("JOB", listed.jobs[0]?.id ?? "");
    }
  }
});
