/**
 * Tests that the examples on the page of the command line run as they stand, against a small
 * deployment of separate processes.
 */
import { execFile } from "node:child_process";
import { copyFileSync, readFileSync, symlinkSync } from "node:fs";
import { join, resolve } from "node:path";
import { promisify } from "node:util";
import test from "ava";
import { z } from "zod";
import { Cluster } from "../../standins/cluster/Cluster.ts";

const PAGE = "docs/CLI.md";
const SHELL_BLOCK = /```sh\n([^]*?)```/g;
const PAGE_ADDRESS = "127.0.0.1:8082";
const BINARY = resolve("dist/fireflylb");

const jobsSchema = z.object({ jobs: z.array(z.object({ id: z.string() })).min(1) });

/** Gives the commands of the page's examples, each on one line. */
function readCommands(): readonly string[] {
  const blocks = [...readFileSync(PAGE, "utf8").matchAll(SHELL_BLOCK)].map(([, text = ""]) => text);
  return blocks
    .join("")
    .replaceAll("\\\n", "")
    .split("\n")
    .filter((line) => line !== "");
}

/** A shell in the deployment's folder, in which `fireflylb` is the built binary. */
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

test("the page of the command line has examples that run as they stand", async (t) => {
  const cluster = await Cluster.start({ entries: 1, zones: ["gujarat-a"] });
  t.teardown(() => cluster.stop());
  const { api, listen } = cluster.getEntry();
  const { folder } = cluster.files;
  copyFileSync(join(folder, "entry-1.ini"), join(folder, "entry.ini"));
  symlinkSync(resolve("examples"), join(folder, "examples"));
  const shell = new ExampleShell(folder, api);
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
